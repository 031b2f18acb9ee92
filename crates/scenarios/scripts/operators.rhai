// Operators send concurrent changes on the same base version and retry them across
// leader changes, compaction and restarts.
engine("e1", "za", false);
entry("n1", "za");
entry("m1", "zb");
run(5000);
let n = 0;
for round in 0..60 {
    for i in 0..(1 + rand(3)) {
        n += 1;
        operate("c" + n, rand(6) / 5);
    }
    if n > 3 && rand(4) == 0 { operate("c" + (n - rand(3)), 0); }
    if rand(8) == 0 { hand_over(leader()); }
    if rand(12) == 0 { let k = any("keeper"); cut(k, "*"); }
    if rand(12) == 0 { freeze(any("keeper"), 100 + rand(3000)); }
    if rand(10) == 0 { let k = any("keeper"); kill(k); run(rand(2000)); restart(k); }
    run(rand(1500));
    if rand(3) == 0 { heal(); }
}
heal();
thaw();
run(15000);
converged();
