// Links fail in one direction only. A leader that can send but receives nothing steps
// down within an election timeout instead of holding the others back; a follower that can
// send but receives nothing deposes no leader.
covers("quorum_lost"); covers("pre_vote");
cluster(3, 4); run(3000);
let old = leader();
let rest = ["a", "b", "c"]; rest.retain(|x| x != old);
for x in rest { cut(x, old); }
run(5000);
expect(!leads(old), "a leader that receives nothing still leads");
expect(leader() != "", "the old leader's heartbeats prevented an election");
heal(); run(3000);
let next = leader(); let term = term(next);
let deaf = follower();
cut(next, deaf); run(10000);
expect(leader() == next && term(next) == term, "a follower that receives nothing deposed the leader");
settle();
