// An instance is shut down while changes keep arriving. It answers every change that it
// has accepted before it transfers leadership; no outcome is unknown, and the next leader
// acts at once.
covers("handed_over");
cluster(5, 12); run(3000);
for round in 0..10 {
    let x = leader();
    propose(x, 20); hand_over(x); propose(x);
    run(400);
    expect(leader() != "" && leader() != x, "leadership was not transferred in time");
}
expect(unknown() == 0, "a planned stop left a change with an unknown outcome");
expect(accepted() == 200, "an accepted change is lost");
expect(refused() == 10, "a leader accepted a change during a leadership transfer");
settle();
