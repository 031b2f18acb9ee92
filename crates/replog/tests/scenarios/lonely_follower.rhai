// A follower is partitioned for a long time and then reconnects, sending before it
// receives anything. Its pre-votes have failed without raising its term, so the working
// leader stays.
covers("pre_vote"); covers("vote_promised_away");
cluster(3, 3); run(3000);
let old = leader(); let term = term(old); let lost = follower();
isolate(lost); run(20000);
expect(leads(old), "the leader stepped down when a follower was partitioned");
for x in ["a", "b", "c"] { mend(lost, x); }
run(5000);
expect(leader() == old && term(old) == term, "pre-votes deposed the leader");
heal(); run(3000);
expect(leader() == old && term(old) == term, "the follower deposed the leader");
settle();
