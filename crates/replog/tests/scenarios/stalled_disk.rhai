// The leader's disk stops answering without an error. Its heartbeats continue, so no
// other replica starts an election; it transfers leadership by itself, and the others
// accept changes again.
covers("trouble_passed_on"); covers("handed_over");
cluster(3, 16); run(3000);
let x = leader();
stall(x); propose(x); run(9000);
expect(leader() != "" && leader() != x, "leadership was not transferred from a stalled disk");
propose(leader()); run(500);
expect(accepted() == 2, "the others accept nothing");
settle();
