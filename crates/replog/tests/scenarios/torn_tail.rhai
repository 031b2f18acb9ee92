// The leader loses power while a record is half written. It restarts with everything it
// had acknowledged, truncates the torn record and continues.
covers("torn_tail");
cluster(3, 8); run(3000);
propose(leader(), 10); run(300);
let x = leader();
propose(x, 3);
tear(x, 40); start(x);
settle();
expect(accepted() >= 10, "an accepted change is gone");
