package mastdrift.distribution;

/** An entry of the log that the voters replicate. */
public sealed interface Command permits Change, EpochStart { }
