package mastdrift.limits;

/** For how long connections to hosts are kept when nothing is on them. One that is kept saves a handshake, and takes a place that the
    host has only so many of: where many gateways each keep one to every host, hosts turn away whoever comes new, who then comes new
    at the next host. How many places there are is told nowhere, but a host that turns away the first request of a connection says
    that it is full, of connections unless it turns away as many on those that stand: then its queue is. So the time falls with the
    part by which more new connections are turned away, from all of it where no more are to {@value #LEAST} microseconds from a
    fifth on, in equal ratios between: every gateway sees the same and gives back alike. */
public final class IdleRetention {

    // Of new connections turned away: from here on the least.
    private static final double FULL = 0.2;
    // What was seen fades with this time constant, in microseconds, and so many that went well are taken for granted.
    private static final double MEMORY = 3e6;
    private static final double PRIOR = 4;
    /** Microseconds: a connection that is used several times a second is always kept. */
    static final long LEAST = 200_000;

    private final long most;
    private double opened;
    private double refused;
    private double again;
    private double refusedAgain;
    private long at;

    /** {@code most} microseconds, where hosts have room. */
    public IdleRetention(long most) {
        this.most = most;
    }

    /** The first request on a new connection has ended: turned away unseen or not. */
    public void opened(long now, boolean turnedAway) {
        fade(now);
        opened++;
        refused += turnedAway ? 1 : 0;
    }

    /** A request on a connection that had carried one before has ended likewise. */
    public void again(long now, boolean turnedAway) {
        fade(now);
        again++;
        refusedAgain += turnedAway ? 1 : 0;
    }

    /** Microseconds for which a connection may be idle as things are. */
    public long most(long now) {
        fade(now);
        double more = refused / (opened + PRIOR) - refusedAgain / (again + PRIOR);
        double part = Math.max(0, Math.min(1, more / FULL));
        return most <= LEAST ? most : (long) (most * Math.pow(LEAST / (double) most, part));
    }

    private void fade(long now) {
        double left = Math.exp(Math.min(0, at - now) / MEMORY);
        opened *= left;
        refused *= left;
        again *= left;
        refusedAgain *= left;
        at = now;
    }
}
