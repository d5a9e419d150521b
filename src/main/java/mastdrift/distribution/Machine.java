package mastdrift.distribution;

/** A control machine that subscribers may choose; {@code zone} is the one that it stands in. */
public record Machine(String name, String zone) { }
