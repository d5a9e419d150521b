package mastdrift.distribution;

/** A control machine that subscribers may choose; {@code zone} is the one that it stands in. */
public record ControlMachine(String name, String zone) { }
