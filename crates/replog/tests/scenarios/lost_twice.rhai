// An instance's folder is emptied; it restarts as a new replica and catches up. Right
// after that a second instance loses its folder. Every accepted change is still there,
// because the first one voted only once it had the full log.
covers("learner_caught_up"); covers("base_from_leader");
cluster(3, 6); run(3000);
for n in 0..8 { propose(leader(), 5); run(200); }
let before = accepted();
expect(before == 40, "the cluster accepts nothing");
let first = follower();
kill(first); empty(first); start(first);
run(200);
while voters(leader()) < 3 { run(50); }
let second = leader();
kill(second); empty(second); start(second);
run(5000);
expect(leader() != "", "no leader after the second loss");
propose(leader()); run(500);
expect(accepted() == before + 1, "the log accepts no more changes");
settle();
