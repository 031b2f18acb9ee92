// An instance loses its folder and, before it is repaired, the leader dies. The
// emptied life doesn't vote, so nothing is decided until the leader is back.
// While it is being repaired it loses its folder once more; its third life
// still ends as a voter, and nothing accepted is lost.
covers("empty_never_votes"); covers("learner_caught_up");
cluster(3, 7); run(3000);
for n in 0..8 { propose(leader(), 5); run(200); }
let x = follower(); let old = leader();
kill(x); empty(x); kill(old); start(x);
run(5000);
expect(leader() == "", "an emptied replica helped to elect a leader");
start(old);
while leader() == "" { run(10); }
run(20);
kill(x); empty(x); start(x);
settle();
expect(voters(leader()) == 3, "the third life never voted");
expect(accepted() >= 41, "an accepted change is gone");
