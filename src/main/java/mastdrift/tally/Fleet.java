package mastdrift.tally;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Lines of many gateways' logs, added up: by second, by gateway and by host. What a gateway says once (its starts, lists, calls that
    failed, its own lateness) is counted also where it counts nothing a second. Holds a sum a second, gateway and host, no lines. */
public final class Fleet {

    private static final int FAULTS_MOST = 20;
    // Cold hosts are looked at in spans of so many microseconds, those of the platform's rule on them.
    private static final long COLD_SPAN = 2_000_000;
    // A log's own clock ahead of its lines, in seconds, where there is one.
    private static final Pattern STAMP = Pattern.compile("^\\s*(\\d+(?:\\.\\d+)?)\\s");
    private static final Pattern LIST = Pattern.compile("\\blist (\\d+): (\\d+) (hosts|changes)");
    private static final Pattern LATE = Pattern.compile("the gateway itself is late: whatever comes waits (\\d+) ms");

    /** What one gateway said once. */
    public static final class Said {
        private int starts;
        private int changes;
        private int callsFailed;
        private long lateMost;
        private double unheardSince = Double.NaN;
        private double unheardMost;

        /** Times that it began to listen. */
        public int starts() {
            return starts;
        }

        /** Lists that discovery told, whole or changes. */
        public int changes() {
            return changes;
        }

        /** Calls to discovery that failed. */
        public int callsFailed() {
            return callsFailed;
        }

        /** Its own lateness at most, in milliseconds. */
        public long lateMost() {
            return lateMost;
        }

        /** Seconds from a call that failed to the next list, at most; 0 where lines have no time or none failed. */
        public double unheardMost() {
            return unheardMost;
        }
    }

    private final Map<Long, Second> seconds = new TreeMap<>();
    private final Map<Long, Integer> counting = new TreeMap<>();
    private final Map<String, Second> gateways = new TreeMap<>();
    private final Map<String, Said> said = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();
    private final List<Seen> seen = new ArrayList<>();
    private final Margins margins = new Margins(COLD_SPAN);
    private String followed = "";
    private int faulty;

    /** A step and the gateway whose log it is of. */
    public record Seen(String gateway, Step step) { }

    /** The steps of requests whose trace id has this in it are kept; before lines are read. */
    public void follow(String id) {
        followed = id;
    }

    /** One line of a gateway's log. One that can't be read is passed over and told of by {@link #faults}. */
    public void read(String gateway, int number, String line) {
        Said of = said.computeIfAbsent(gateway, name -> new Said());
        boolean step = line.contains(Step.MARK);
        if (step || line.contains(Second.MARK)) {
            try {
                if (step) {
                    read(gateway, Step.parse(line));
                } else {
                    read(gateway, Second.parse(line));
                }
            } catch (IllegalArgumentException e) {
                if (faulty++ < FAULTS_MOST) {
                    faults.add(gateway + ":" + number + ": " + e.getMessage());
                }
            }
            return;
        }
        Matcher stamp = STAMP.matcher(line);
        double at = stamp.find() ? Double.parseDouble(stamp.group(1)) : Double.NaN;
        Matcher list = LIST.matcher(line);
        Matcher late = LATE.matcher(line);
        if (line.contains("listening on ")) {
            of.starts++;
            margins.end();
            of.unheardSince = Double.NaN;
        } else if (line.contains("discovery failed: ")) {
            of.callsFailed++;
            of.unheardSince = Double.isNaN(of.unheardSince) ? at : of.unheardSince;
        } else if (list.find()) {
            of.changes++;
            if (of.unheardSince <= at) {
                of.unheardMost = Math.max(of.unheardMost, at - of.unheardSince);
            }
            of.unheardSince = Double.NaN;
        } else if (late.find()) {
            of.lateMost = Math.max(of.lateMost, Long.parseLong(late.group(1)));
        }
    }

    private void read(String gateway, Second second) {
        seconds.computeIfAbsent(second.at(), Second::new).add(second);
        counting.merge(second.at(), 1, Integer::sum);
        gateways.computeIfAbsent(gateway, name -> new Second(second.at())).add(second);
    }

    private void read(String gateway, Step step) {
        margins.read(step);
        if (!followed.isEmpty() && step.id().contains(followed)) {
            seen.add(new Seen(gateway, step));
        }
    }

    /** The log that was being read has ended. */
    public void end() {
        margins.end();
    }

    /** How near the fleet came to its rules, by what it logged of single requests. */
    public Margins margins() {
        return margins;
    }

    /** The steps of the request that is followed over all gateways, by time. */
    public List<Seen> seen() {
        return seen.stream().sorted(Comparator.comparingLong(of -> of.step().at())).toList();
    }

    /** Sums over the fleet by second of Unix time. */
    public Map<Long, Second> seconds() {
        return seconds;
    }

    /** How many gateways counted in a second. */
    public int counting(long second) {
        return counting.getOrDefault(second, 0);
    }

    /** Sums over time by gateway, for those that count. */
    public Map<String, Second> gateways() {
        return gateways;
    }

    /** What every gateway said once. */
    public Map<String, Said> said() {
        return said;
    }

    /** Sums over all. */
    public Second all() {
        Second all = new Second(0);
        seconds.values().forEach(all::add);
        return all;
    }

    /** Lines that could not be read: gateway, line, what was expected and found. At most {@value #FAULTS_MOST}. */
    public List<String> faults() {
        return faults;
    }

    /** How many there were in all. */
    public int faulty() {
        return faulty;
    }
}
