// The leader's disk stops answering without an error. Its heartbeats go on, so
// nobody else would stand for election; it hands over by itself, and changes
// are accepted again by the others.
covers("trouble_passed_on"); covers("handed_over");
cluster(3, 16); run(3000);
let x = leader();
stall(x); propose(x); run(9000);
expect(leader() != "" && leader() != x, "leadership stayed with a dead disk");
propose(leader()); run(500);
expect(accepted() == 2, "the others accept nothing");
settle();
