// An instance loses its folder, and the leader dies before the instance has caught up.
// The incarnation with the empty folder doesn't vote, so nothing is decided until the
// leader is back. While catching up, the instance loses its folder again; its third
// incarnation still becomes a voter, and no accepted change is lost.
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
expect(voters(leader()) == 3, "the third incarnation never became a voter");
expect(accepted() >= 41, "an accepted change is gone");
