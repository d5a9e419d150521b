package mastdrift.distribution;

/** A control machine that a subscriber may connect to, and the zone that it is located in. */
public record ControlMachine(String name, String zone) { }
