package mastdrift.engine;

/** What a front knows of a request: its class, tenant (or null), key (or null), the microseconds that its client still
    waits, whether it is a client's repeat, whether it writes, and a guess at its work in microseconds (0 for none). */
public record Ask(String className, String tenant, Long key, long left, boolean repeated, boolean write, long work) { }
