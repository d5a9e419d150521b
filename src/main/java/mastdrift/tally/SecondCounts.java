package mastdrift.tally;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of one gateway in one second. Keeps at most {@value #MAX_HOSTS} hosts; the counts of further hosts go to
 * {@value #OTHER_HOSTS}.
 */
public final class SecondCounts {

    /** Start of the counts in a log line; the log may put a prefix before it. */
    public static final String LINE_MARKER = "tally at=";
    static final int MAX_HOSTS = 256;
    static final String OTHER_HOSTS = "(others)";

    /** Attempts at one host, and how many of them failed for any cause but the gateway's own. */
    public static final class HostCounts {
        private long sends;
        private long lost;

        /** Attempts. */
        public long sends() {
            return sends;
        }

        /** Attempts that did not get a proper answer. */
        public long lost() {
            return lost;
        }
    }

    private final long unixSeconds;
    private final long[] counts = new long[Counter.values().length];
    private final Map<String, HostCounts> hosts = new TreeMap<>();

    /** Counts of the second {@code unixSeconds}. */
    public SecondCounts(long unixSeconds) {
        this.unixSeconds = unixSeconds;
    }

    /** Seconds of Unix time. */
    public long unixSeconds() {
        return unixSeconds;
    }

    /** The value of a counter. */
    public long count(Counter counter) {
        return counts[counter.ordinal()];
    }

    /** Hosts with attempts, by uid. */
    public Map<String, HostCounts> hosts() {
        return hosts;
    }

    /** Increments a counter. */
    public void add(Counter counter) {
        add(counter, 1);
    }

    /** Adds {@code amount} to a counter. */
    public void add(Counter counter, long amount) {
        counts[counter.ordinal()] += amount;
    }

    /** Counts an attempt at a host. */
    public void addSend(String uid) {
        hostCounts(uid).sends++;
    }

    /** Counts an attempt at a host that failed. */
    public void addLoss(String uid) {
        hostCounts(uid).lost++;
    }

    private HostCounts hostCounts(String uid) {
        boolean isKept = hosts.containsKey(uid) || hosts.size() < MAX_HOSTS;
        return hosts.computeIfAbsent(isKept ? uid : OTHER_HOSTS, name -> new HostCounts());
    }

    /** Adds the counts of another second. */
    public void add(SecondCounts other) {
        Arrays.setAll(counts, i -> counts[i] + other.counts[i]);
        other.hosts.forEach((uid, hostCounts) -> {
            HostCounts ownCounts = hostCounts(uid);
            ownCounts.sends += hostCounts.sends;
            ownCounts.lost += hostCounts.lost;
        });
    }

    /** The log line {@code tally at=SECOND name=count ... hosts=UID:sends:lost,...}; counts of zero are left out. */
    public String formatLine() {
        StringBuilder line = new StringBuilder(LINE_MARKER).append(unixSeconds);
        for (Counter counter : Counter.values()) {
            if (count(counter) != 0) {
                line.append(' ').append(counter.key()).append('=').append(count(counter));
            }
        }
        String separator = " hosts=";
        for (Map.Entry<String, HostCounts> host : hosts.entrySet()) {
            line.append(separator).append(URLEncoder.encode(host.getKey(), StandardCharsets.UTF_8))
                    .append(':').append(host.getValue().sends)
                    .append(':').append(host.getValue().lost);
            separator = ",";
        }
        return line.toString();
    }

    /**
     * Parses a line written by {@link #formatLine}, with any prefix before the marker. Counters with unknown names,
     * from a newer gateway, are skipped.
     *
     * @throws IllegalArgumentException saying what was expected and what was found
     */
    public static SecondCounts parse(String line) {
        int markerAt = line.indexOf(LINE_MARKER);
        if (markerAt < 0) {
            throw new IllegalArgumentException("expected " + LINE_MARKER + ", found none");
        }
        String[] fields = line.substring(markerAt + LINE_MARKER.length()).strip().split(" ");
        SecondCounts second = new SecondCounts(parseCount("at", fields[0]));
        for (int i = 1; i < fields.length; i++) {
            int equalsAt = fields[i].indexOf('=');
            if (equalsAt < 0) {
                throw new IllegalArgumentException("expected name=count, found " + fields[i]);
            }
            String name = fields[i].substring(0, equalsAt);
            String value = fields[i].substring(equalsAt + 1);
            if (name.equals("hosts")) {
                for (String host : value.split(",")) {
                    second.parseHost(host);
                }
            } else {
                long amount = parseCount(name, value);
                Arrays.stream(Counter.values()).filter(counter -> counter.key().equals(name.toLowerCase(Locale.ROOT)))
                        .forEach(counter -> second.add(counter, amount));
            }
        }
        return second;
    }

    private void parseHost(String text) {
        String[] parts = text.split(":");
        if (parts.length != 3) {
            throw new IllegalArgumentException("hosts: expected UID:sends:lost, found " + text);
        }
        HostCounts host = hostCounts(URLDecoder.decode(parts[0], StandardCharsets.UTF_8));
        host.sends += parseCount("hosts", parts[1]);
        host.lost += parseCount("hosts", parts[2]);
    }

    private static long parseCount(String name, String text) {
        try {
            long number = Long.parseLong(text);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new IllegalArgumentException(name + ": expected a whole number from 0, found " + text);
    }
}
