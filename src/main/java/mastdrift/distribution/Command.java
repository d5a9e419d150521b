package mastdrift.distribution;

/** What voters agree on. */
public sealed interface Command permits Change, EpochStart { }
