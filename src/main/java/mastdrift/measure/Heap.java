package mastdrift.measure;

/** What the heap holds. */
final class Heap {

    private Heap() { }

    /** Bytes in use after collections, which are asked for until they bring nothing more to speak of. */
    static long used() throws InterruptedException {
        long last = Long.MAX_VALUE;
        for (int i = 0; i < 8; i++) {
            System.gc();
            Thread.sleep(50);
            long now = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
            if (now > last - 10_000) {
                return Math.min(now, last);
            }
            last = now;
        }
        return last;
    }
}
