// An owner is paused at any step, also between the check and the sending of an order,
// and resumes while another instance is the owner.
engine("e1", "za", true);
engine("e2", "za", false);
entry("n1", "za");
entry("n2", "za");
entry("n3", "za");
run(9000);
for i in 0..8 {
    let old = owner(if rand(2) == 0 { "e1" } else { "e2" });
    if old != "" {
        freeze(old, 500 + rand(9000));
    }
    if rand(3) == 0 { freeze(leader(), 300 + rand(4000)); }
    run(1000 + rand(9000));
}
thaw();
run(20000);
converged();
