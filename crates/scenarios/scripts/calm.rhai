// No faults: every engine gets an owner, and requests and orders succeed.
for z in ["za", "zb"] {
    engine(z + "-e1", z, true);
    engine(z + "-e2", z, false);
    entry(z + "-n1", z);
    entry(z + "-n2", z);
}
run(10000);
for z in ["za", "zb"] {
    let a = owner(z + "-e1");
    let b = owner(z + "-e2");
    expect(a != "" && b != "", "an engine without owner: " + a + " " + b);
    expect(a != b, "both engines went to one instance");
}
operate("first", 0);
run(4000);
converged();
expect(count("requests") > 20, "few requests: " + count("requests"));
expect(count("orders") > 10, "few orders: " + count("orders"));
expect(count("runs") > 5, "few marked requests");
