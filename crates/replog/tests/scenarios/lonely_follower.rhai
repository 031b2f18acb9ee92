// A follower is cut off for a long time and comes back, sending before it
// hears anything. Nobody notices: it has
// asked for votes in vain without raising its term, so the leader that serves
// everybody else stays.
covers("pre_vote"); covers("vote_promised_away");
cluster(3, 3); run(3000);
let old = leader(); let term = term(old); let lost = follower();
isolate(lost); run(20000);
expect(leads(old), "the leader was lost with a follower");
for x in ["a", "b", "c"] { mend(lost, x); }
run(5000);
expect(leader() == old && term(old) == term, "requests for votes deposed the leader");
heal(); run(3000);
expect(leader() == old && term(old) == term, "the follower deposed the leader");
settle();
