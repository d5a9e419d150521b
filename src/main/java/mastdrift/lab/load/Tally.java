package mastdrift.lab.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import mastdrift.lab.draw.Mix;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** What the loops of a run count: totals that may be read while it goes on, and rows by second and part that each loop keeps
    for itself until the end. */
final class Tally {

    private static final int DIGITS = 3;

    private final List<Mix.Part> parts;
    private final LongAdder[] live = new LongAdder[Counts.Of.values().length];
    private final List<Recorder> recorders = new ArrayList<>();
    private final Recorder lateness = new Recorder(DIGITS);
    private final LongAdder waited = new LongAdder();

    Tally(List<Mix.Part> parts) {
        this.parts = parts;
        for (int i = 0; i < live.length; i++) {
            live[i] = new LongAdder();
        }
        parts.forEach(part -> recorders.add(new Recorder(DIGITS)));
    }

    long live(Counts.Of of) {
        return live[of.ordinal()].sum();
    }

    long waited() {
        return waited.sum();
    }

    /** Latencies of served tries of a part since this was last asked, in microseconds. */
    Histogram interval(int part) {
        return recorders.get(part).getIntervalHistogram();
    }

    Histogram lateness() {
        return lateness.getIntervalHistogram();
    }

    /** How late the tool itself was, in nanoseconds; from any loop. */
    void late(long nanos) {
        lateness.recordValue(Math.max(0, nanos / 1000));
    }

    void waitedForConnection() {
        waited.increment();
    }

    /** The rows of one loop. */
    final class Rows {

        private final long begun;
        private final List<Counts[]> seconds = new ArrayList<>();

        Rows(long begun) {
            this.begun = begun;
        }

        /** In the second in which the try was due. */
        void count(Shot shot, Counts.Of of) {
            live[of.ordinal()].increment();
            int second = (int) Math.max(0, (shot.due() - begun) / 1_000_000_000L);
            while (seconds.size() <= second) {
                seconds.add(new Counts[parts.size()]);
            }
            Counts[] row = seconds.get(second);
            if (row[shot.number()] == null) {
                row[shot.number()] = new Counts();
            }
            row[shot.number()].add(of);
        }

        /** A try was served, so long after it was due. */
        void served(Shot shot, long nanos) {
            recorders.get(shot.number()).recordValue(Math.max(0, nanos / 1000));
        }

        /** Adds all to {@code to}, by second and part; after the loop has ended. */
        void into(List<Counts[]> to) {
            for (int second = 0; second < seconds.size(); second++) {
                while (to.size() <= second) {
                    Counts[] empty = new Counts[parts.size()];
                    for (int i = 0; i < empty.length; i++) {
                        empty[i] = new Counts();
                    }
                    to.add(empty);
                }
                for (int i = 0; i < parts.size(); i++) {
                    if (seconds.get(second)[i] != null) {
                        to.get(second)[i].add(seconds.get(second)[i]);
                    }
                }
            }
        }
    }
}
