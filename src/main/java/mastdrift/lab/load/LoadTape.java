package mastdrift.lab.load;

import java.util.ArrayList;
import java.util.List;
import mastdrift.lab.draw.Mix;
import org.HdrHistogram.Histogram;

/** Latencies second by second, by part, as they were recorded; bounded by {@value #SECONDS_MOST} seconds, beyond which all goes
    into the last one. */
final class LoadTape {

    private static final int SECONDS_MOST = 7200;

    private final List<Mix.Part> parts;
    private final Tally tally;
    private final List<Histogram[]> seconds = new ArrayList<>();

    LoadTape(List<Mix.Part> parts, Tally tally) {
        this.parts = parts;
        this.tally = tally;
    }

    /** A second is over. */
    synchronized void second() {
        long now = System.currentTimeMillis();
        Histogram[] row = new Histogram[parts.size()];
        for (int i = 0; i < row.length; i++) {
            Histogram interval = tally.interval(i);
            row[i] = new Histogram(3);  // a recorder's own has room for all that it ever held
            row[i].add(interval);
            row[i].setStartTimeStamp(interval.getStartTimeStamp());
            row[i].setEndTimeStamp(now);
            row[i].setTag(parts.get(i).label());
        }
        if (seconds.size() < SECONDS_MOST) {
            seconds.add(row);
        } else {
            for (int i = 0; i < row.length; i++) {
                seconds.get(SECONDS_MOST - 1)[i].add(row[i]);
            }
        }
    }

    synchronized List<Histogram[]> seconds() {
        return List.copyOf(seconds);
    }
}
