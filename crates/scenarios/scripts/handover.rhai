// An instance shuts down gracefully: its engines get another owner at once, and adapters
// that its requests use stay loaded. Meanwhile the leader changes, or the new owner fails.
engine("e1", "za", false);
engine("e2", "za", true);
entry("n1", "za");
entry("n2", "za");
entry("n3", "za");
run(10000);
let old = owner("e1");
renounce(old);
if rand(3) == 0 { hand_over(leader()); }
if rand(4) == 0 { kill(leader()); }
if rand(4) == 0 { let o = any("entry"); if o != old { freeze(o, 2000 + rand(5000)); } }
run(2500);
if rand(2) == 0 { cut(old, "*"); }
run(rand(8000));
kill(old);
heal();
for k in ["k1", "k2", "k3"] { if !up(k) { restart(k); } }
thaw();
run(12000);
expect(owner("e1") != "" && owner("e1") != old, "no new owner");
restart(old);
run(15000);
converged();
