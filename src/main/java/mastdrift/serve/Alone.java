package mastdrift.serve;

/** For how long a process has heard nobody of whom its configuration comes. */
final class Alone {

    /** For so long it is nothing that operators want to know: one machine is left for another within that. */
    static final long MILLIS = 6_000;

    private long since;  // 0 for not alone
    private boolean said;

    /** What it is now; true where operators should hear of a change. */
    boolean now(boolean alone) {
        since = !alone ? 0 : since == 0 ? System.nanoTime() / 1_000_000 | 1 : since;
        boolean say = millis() > MILLIS;
        boolean changed = say != said && (say || since == 0);
        said = changed ? say : said;
        return changed;
    }

    /** Milliseconds for which it is; 0 for not. */
    long millis() {
        return since == 0 ? 0 : System.nanoTime() / 1_000_000 - since + 1;
    }
}
