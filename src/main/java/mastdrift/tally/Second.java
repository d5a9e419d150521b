package mastdrift.tally;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What one gateway counted in one second. Holds up to {@value #HOSTS_MOST} hosts; what others had is under {@value #OTHERS}. */
public final class Second {

    /** Begins its line, behind whatever the log puts ahead. */
    public static final String MARK = "tally at=";
    static final int HOSTS_MOST = 256;
    static final String OTHERS = "(others)";

    /** Attempts at one host, and those of them that came to nothing for whatever cause but the gateway's own. */
    public static final class OfHost {
        private long sends;
        private long lost;

        /** Attempts. */
        public long sends() {
            return sends;
        }

        /** Attempts that were not answered as they should. */
        public long lost() {
            return lost;
        }
    }

    private final long at;
    private final long[] counts = new long[Count.values().length];
    private final Map<String, OfHost> hosts = new TreeMap<>();

    /** {@code at} is in seconds of Unix time. */
    public Second(long at) {
        this.at = at;
    }

    /** Seconds of Unix time. */
    public long at() {
        return at;
    }

    /** How often it was counted. */
    public long of(Count count) {
        return counts[count.ordinal()];
    }

    /** Hosts with attempts, by uid. */
    public Map<String, OfHost> hosts() {
        return hosts;
    }

    /** Counts it once more. */
    public void add(Count count) {
        add(count, 1);
    }

    /** Counts it so many times more. */
    public void add(Count count, long times) {
        counts[count.ordinal()] += times;
    }

    /** An attempt at a host. */
    public void sent(String uid) {
        host(uid).sends++;
    }

    /** One that came to nothing. */
    public void lost(String uid) {
        host(uid).lost++;
    }

    private OfHost host(String uid) {
        boolean room = hosts.containsKey(uid) || hosts.size() < HOSTS_MOST;
        return hosts.computeIfAbsent(room ? uid : OTHERS, name -> new OfHost());
    }

    /** Adds what another counted. */
    public void add(Second other) {
        Arrays.setAll(counts, i -> counts[i] + other.counts[i]);
        other.hosts.forEach((uid, of) -> {
            OfHost mine = host(uid);
            mine.sends += of.sends;
            mine.lost += of.lost;
        });
    }

    /** Its line: {@code tally at=SECOND name=count ... hosts=UID:sends:lost,...}, without what is zero. */
    public String line() {
        StringBuilder line = new StringBuilder(MARK).append(at);
        for (Count count : Count.values()) {
            if (of(count) != 0) {
                line.append(' ').append(count.word()).append('=').append(of(count));
            }
        }
        String before = " hosts=";
        for (Map.Entry<String, OfHost> host : hosts.entrySet()) {
            line.append(before).append(URLEncoder.encode(host.getKey(), StandardCharsets.UTF_8)).append(':').append(host.getValue().sends)
                    .append(':').append(host.getValue().lost);
            before = ",";
        }
        return line.toString();
    }

    /** Reads a line as {@link #line} writes it, whatever is ahead of its mark. Throws IllegalArgumentException that says what was
        expected and what was found; counts of names that it doesn't know, from a newer gateway, are passed over. */
    public static Second parse(String line) {
        int mark = line.indexOf(MARK);
        if (mark < 0) {
            throw new IllegalArgumentException("expected " + MARK + ", found none");
        }
        String[] words = line.substring(mark + MARK.length()).strip().split(" ");
        Second second = new Second(number("at", words[0]));
        for (int i = 1; i < words.length; i++) {
            int eq = words[i].indexOf('=');
            if (eq < 0) {
                throw new IllegalArgumentException("expected name=count, found " + words[i]);
            }
            String name = words[i].substring(0, eq);
            String value = words[i].substring(eq + 1);
            if (name.equals("hosts")) {
                for (String host : value.split(",")) {
                    second.readHost(host);
                }
            } else {
                long times = number(name, value);
                Arrays.stream(Count.values()).filter(count -> count.word().equals(name.toLowerCase(Locale.ROOT)))
                        .forEach(count -> second.add(count, times));
            }
        }
        return second;
    }

    private void readHost(String text) {
        String[] parts = text.split(":");
        if (parts.length != 3) {
            throw new IllegalArgumentException("hosts: expected UID:sends:lost, found " + text);
        }
        OfHost host = host(URLDecoder.decode(parts[0], StandardCharsets.UTF_8));
        host.sends += number("hosts", parts[1]);
        host.lost += number("hosts", parts[2]);
    }

    private static long number(String name, String text) {
        try {
            long number = Long.parseLong(text);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new IllegalArgumentException(name + ": expected a whole number from 0, found " + text);
    }
}
