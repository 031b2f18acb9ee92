// The leader's disk fails a sync. The leader halts without a retry, its open proposals
// end with an unknown outcome, and the others continue. With the disk replaced, it
// restarts from what is actually on disk.
covers("halted_by_write"); covers("unknown_on_lost_term");
cluster(3, 10); run(3000);
let x = leader();
fail_sync(x); propose(x); run(3000);
expect(halted(x) == 1, "the replica did not halt after a failed sync");
expect(unknown() == 1, "the open proposal did not end with an unknown outcome");
expect(leader() != "" && leader() != x, "no other replica was elected");
settle();
