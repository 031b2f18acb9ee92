// Three new instances start while one is unreachable. Two of them must not found a log:
// the third might hold an older one. Later all three lose power, and every accepted
// change is restored when they restart.
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
expect(accepted() == 11, "the log accepts no more changes");
settle();
