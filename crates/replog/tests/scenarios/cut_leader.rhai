// A change proposed at a leader that has just been partitioned stays unanswered for a
// moment and then ends with an unknown outcome ("may have been accepted"). The old leader
// stops acting before the others elect a new one; once the partition heals, all replicas
// follow the new leader.
covers("quorum_lost"); covers("lease_lapsed"); covers("unknown_on_lost_term");
cluster(3, 1); run(3000);
let old = leader();
isolate(old);
propose(old, 3);
run(4000);
expect(!leads(old), "the isolated leader still leads");
expect(unknown() == 3, "the proposals did not end as unknown");
let next = leader();
expect(next != "" && next != old, "no new leader");
propose(next); run(500);
expect(accepted() == 1, "the new leader accepts nothing");
settle();
