package mastdrift.distribution;

/**
 * The first log entry of every epoch but the first. It changes no resource.
 * @param from revision whose resources the epoch starts with, as reported by the voter that proposed this; only its
 * hash is compared
 */
public record EpochStart(Revision from) implements Command { }
