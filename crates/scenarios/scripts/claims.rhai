// Marked requests (at most once, by idempotency key) with few keys, so that a retry
// reaches another instance during or after the first attempt, with crashes, partitions
// and leader changes in between.
entry("n1", "za");
entry("n2", "za");
entry("m1", "zb");
entry("m2", "zb");
run(5000);
for i in 0..40 {
    let what = rand(8);
    if what == 0 { let n = any("entry"); kill(n); run(rand(15000)); restart(n); }
    if what == 1 { hand_over(leader()); }
    if what == 2 { let k = any("keeper"); kill(k); run(rand(3000)); restart(k); }
    if what == 3 { cut(any("entry"), "*"); }
    if what == 4 { freeze(any("entry"), rand(20000)); }
    if what == 5 { freeze(any("keeper"), rand(3000)); }
    if what == 6 { cut_one(any("keeper"), any("entry")); }
    run(rand(4000));
    if rand(2) == 0 { heal(); }
}
heal();
thaw();
run(15000);
expect(count("runs") > 20, "few keys ran: " + count("runs"));
converged();
