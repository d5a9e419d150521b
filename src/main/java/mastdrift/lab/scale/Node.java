package mastdrift.lab.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import mastdrift.distribution.Change;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Outcome;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Table;
import org.HdrHistogram.Histogram;

/** A process of a scale run: one control machine, or many hollow gateways on one loop. Does what lines of JSON on its input say, answers each with one, and ends with its input. */
public final class Node {

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<Member> members = new ArrayList<>();
    private final Map<ResourceKind, Integer> counts = new EnumMap<>(ResourceKind.class);
    private final Histogram times = new Histogram(3);
    private final Set<Integer> returning = new HashSet<>();
    private Map<String, Object> begin = Map.of();
    private List<Member.Above> above = List.of();
    private long seed;
    private int valueBytes;
    private int lives;
    private long before;
    private long snapshots;
    private long returnedAt;

    private Node() { }

    /** Runs until its input ends. */
    public static void main(String[] args) throws IOException {
        Node node = new Node();
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Map<String, Object> answer;
                try {
                    answer = node.does(JSON.std.mapFrom(line));
                } catch (Exception e) {
                    answer = Map.of("error", String.valueOf(e));
                }
                System.out.println(JSON.std.asString(answer));
            }
        }
        System.exit(0);
    }

    private Map<String, Object> does(Map<String, Object> what) throws Exception {
        switch (String.valueOf(what.get("do"))) {
            case "begin":
                return begin(what);
            case "open":
                return onLoop(() -> {
                    for (int i = 0; i < number("count"); i++) {
                        members.add(hollow(i, Table.empty(1)));
                    }
                    return Map.of();
                });
            case "status":
                return onLoop(() -> Map.of("revision", members.get(0).revision().number()));
            case "behind":
                long wanted = ((Number) what.get("revision")).longValue();
                return onLoop(() -> Map.of("behind", members.stream().filter(each -> each.revision().number() < wanted).count()));
            case "change":
                return onLoop(() -> change(((Number) what.get("number")).intValue(), ((Number) what.get("at")).longValue()));
            case "times":
                return onLoop(this::times);
            case "heap":
                return Map.of("bytes", Math.max(0, live() - before));
            case "return":
                return onLoop(() -> returns(((Number) what.get("count")).intValue(), Boolean.TRUE.equals(what.get("keep"))));
            case "cut":
                return onLoop(() -> cut(Boolean.TRUE.equals(what.get("on"))));
            default:
                throw new IllegalArgumentException("expected something that a process of a scale run does, found " + what.get("do"));
        }
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private int number(String key) {
        return ((Number) begin.get(key)).intValue();
    }

    private String zone(int number) {
        int zone = number % number("zones");
        return "region" + zone % 4 + "-" + zone;
    }

    private Map<String, Object> begin(Map<String, Object> what) throws Exception {
        begin = what;
        seed = ((Number) what.get("seed")).longValue();
        valueBytes = number("value_bytes");
        for (ResourceKind kind : ResourceKind.values()) {
            counts.put(kind, number(kind.name()));
        }
        above = ((List<?>) what.get("machines")).stream().map(each -> Member.above((Map<?, ?>) each)).toList();
        before = live();
        if (what.get("role").equals("hollow")) {
            return Map.of();
        }
        String name = String.valueOf(what.get("name"));
        int first = number("first");
        Table have = above.isEmpty() ? Tables.made(seed, counts, valueBytes) : Table.empty(1);
        Member machine = onLoop(() -> Member.machine(loop, name, zone(first), above, have, seed + first));
        members.add(machine);
        return Member.told(name, zone(first), (InetSocketAddress) onLoop(machine::listen).sync().channel().localAddress());
    }

    // ---- hollow gateways

    private Member hollow(int number, Table have) {
        int own = number("first") + number;
        long[] last = {have.revision().number()};
        return Member.hollow(loop, "gateway-" + own, zone(own), above, have, seed + own + 10_000L * lives, (next, deltas) -> {
            long now = System.nanoTime();
            if (deltas.isEmpty()) {
                snapshots++;
            }
            if (last[0] > 0) {
                seen(now, last[0], next, deltas);
            }
            if (returning.remove(number)) {
                returnedAt = now;
            }
            last[0] = next.revision().number();
        });
    }

    /** How long what is new took, by what its values say. */
    private void seen(long now, long last, Table next, List<Delta> deltas) {
        for (Delta delta : deltas) {
            delta.upserts().forEach(each -> seen(now, each));
        }
        if (deltas.isEmpty()) {
            for (ResourceKind kind : ResourceKind.values()) {
                next.forEach(kind, each -> {
                    if (each.version() > last) {
                        seen(now, each);
                    }
                });
            }
        }
    }

    private void seen(long now, Resource resource) {
        long at = Tables.at(resource.value());
        if (at > 0) {
            times.recordValue(Math.max(0, (now - at) / 1_000));
        }
    }

    private Map<String, Object> times() {
        ByteBuffer bytes = ByteBuffer.allocate(times.getNeededByteBufferCapacity());
        int length = times.encodeIntoCompressedByteBuffer(bytes);
        Map<String, Object> answer = Map.of("times", Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(bytes.array(), length)), "snapshots", snapshots, "returned", returnedAt);
        times.reset();
        snapshots = 0;
        returnedAt = 0;
        return answer;
    }

    /** The first ones end, and others of the same names begin. */
    private Map<String, Object> returns(int count, boolean keep) {
        lives++;
        for (int i = 0; i < Math.min(count, members.size()); i++) {
            Member old = members.get(i);
            old.close();
            returning.add(i);
            members.set(i, hollow(i, keep ? old.table() : Table.empty(1)));
        }
        return Map.of();
    }

    /** The gateways of the first region reach nobody, or everybody again. */
    private Map<String, Object> cut(boolean cut) {
        for (int i = 0; i < members.size(); i++) {
            if (zone(number("first") + i).startsWith(zone(0).replaceAll("-.*", "-"))) {
                members.get(i).cut(cut);
                if (!cut) {
                    returning.add(i);
                }
            }
        }
        return Map.of();
    }

    // ---- a voter

    private Map<String, Object> change(int number, long at) {
        ResourceKind kind = counts.get(ResourceKind.TENANT) > 0 ? ResourceKind.TENANT : ResourceKind.ROUTE;
        Member voter = members.get(0);
        Change change = Tables.change(seed, number, kind, counts.get(kind), at, valueBytes);
        long began = System.nanoTime();
        if (!(voter.table().apply(voter.revision().number() + 1, change) instanceof Outcome.Applied applied)) {
            throw new IllegalStateException("expected change " + number + " to be applied, found a conflict");
        }
        voter.put(applied.table(), List.of(applied.delta()));
        return Map.of("revision", voter.revision().number(), "nanos", System.nanoTime() - began);
    }

    /** Bytes in use after collections, which are asked for until they bring nothing more to speak of. */
    private static long live() throws InterruptedException {
        long last = Long.MAX_VALUE;
        for (int i = 0; i < 6; i++) {
            System.gc();
            Thread.sleep(30);
            long now = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
            if (now > last - 10_000) {
                return Math.min(now, last);
            }
            last = now;
        }
        return last;
    }
}
