// The owner of a zone's engines is partitioned from the leader while a new instance,
// unknown to it, starts and reaches the leader, and other instances of the zone pause or
// crash.
engine("e1", "za", false);
engine("e2", "za", false);
entry("n1", "za");
if rand(2) == 0 { entry("n2", "za"); }
run(9000);
let old = owner("e1");
for k in ["k1", "k2", "k3"] { cut(old, k); }
run(rand(3000));
entry("n3", "za");
run(rand(4000));
if rand(2) == 0 { hand_over(leader()); }
if rand(2) == 0 { let o = any("entry"); if o != old { freeze(o, 4000 + rand(9000)); } }
if up("n2") && rand(2) == 0 { kill("n2"); }
run(20000 + rand(60000));
heal();
thaw();
run(45000);
converged();
