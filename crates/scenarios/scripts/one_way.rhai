// Links that lose messages in one direction only, and change faster than leases expire.
engine("e1", "za", false);
engine("e2", "za", true);
engine("e3", "zb", false);
entry("n1", "za");
entry("n2", "za");
entry("m1", "zb");
entry("m2", "zb");
run(9000);
for i in 0..40 {
    heal();
    for j in 0..3 {
        let a = if rand(3) == 0 { any("keeper") } else { any("entry") };
        let b = if rand(2) == 0 { any("keeper") } else { any("entry") };
        if a != b { cut_one(a, b); }
    }
    run(200 + rand(4000));
}
heal();
run(20000);
converged();
