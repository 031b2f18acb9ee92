// Three new instances start while one can't be reached. Nothing is founded by
// two of them: the third might hold an older log. Later the power fails for
// all three, and everything accepted is there when they come back.
covers("restart_grace");
cluster(3, 15);
isolate("c"); run(5000);
expect(leader() == "", "a log was founded without knowing all instances");
heal(); run(3000);
propose(leader(), 10); run(500);
for x in ["a", "b", "c"] { kill(x); }
for x in ["a", "b", "c"] { start(x); }
run(5000);
expect(leader() != "", "no leader after the power cut");
propose(leader()); run(500);
expect(accepted() == 11, "the log takes nothing any more");
settle();
