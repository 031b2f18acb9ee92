// A disk returns a wrong byte in an old record of a stopped instance. The instance must
// not vote with the remaining records, since votes and entries that others rely on are
// lost; it restarts as a new replica and catches up.
covers("damaged_middle"); covers("learner_caught_up");
cluster(3, 9); run(3000);
for n in 0..5 { propose(leader(), 2); run(200); }
let x = follower();
kill(x); damage(x, 300); start(x);
settle();
expect(accepted() >= 10, "an accepted change is gone");
