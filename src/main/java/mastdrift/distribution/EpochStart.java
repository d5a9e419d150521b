package mastdrift.distribution;

/**
 * The first decision of an epoch after the first one. It changes no resource.
 *
 * @param from the revision whose resources the epoch begins with, as the voter has it that asked for this; what counts is its hash
 */
public record EpochStart(Revision from) implements Command { }
