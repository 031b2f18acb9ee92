// The only instance of a zone is partitioned and replaced under a new name while it
// still takes itself for the owner. Later the replacement crashes and restarts under its
// own name.
engine("e1", "za", true);
engine("e2", "za", false);
entry("n1", "za");
run(9000);
expect(owner("e1") == "n1" && owner("e2") == "n1", "n1 owns nothing");
for k in ["k1", "k2", "k3"] { cut("n1", k); }
unlist("n1");
entry("n2", "za");
if rand(2) == 0 { cut("n1", "n2"); }
run(30000 + rand(60000));
expect(owner("e2") == "n1", "the old one, alone, is no longer in charge");
run(660000);
expect(own("n1", "e2") == "restricted" || own("n1", "e2") == "none", "in charge for ever");
expect(owner("e2") == "n2", "the replacement never takes over");
heal();
run(15000);
converged();
kill("n2");
run(5000 + rand(5000));
restart("n2");
run(15000);
converged();
