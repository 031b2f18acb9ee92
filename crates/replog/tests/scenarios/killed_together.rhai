// All processes are killed at the same time and are back within half a second. If each
// waited out the lease of a leader that is gone, callers would see three quarters of a
// second without a leader, where a tenth is enough.
covers("restart_grace_ended");
cluster(4, 6); run(3000);
propose(leader(), 5); run(300);
for x in ["a", "b", "c", "d"] { kill(x); }
run(500);
for x in ["a", "b", "c", "d"] { start(x); }
run(200);
expect(leader() != "", "no leader soon after all were killed");
settle();
expect(accepted() >= 5, "an accepted change is gone");
