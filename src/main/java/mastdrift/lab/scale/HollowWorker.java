package mastdrift.lab.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Table;
import mastdrift.net.Addresses;
import org.HdrHistogram.Histogram;

/** A process of many hollow gateways on one loop. Does what lines of JSON on its input say, answers each with one, and ends with its input. */
public final class HollowWorker {

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<HollowGateway> gateways = new ArrayList<>();
    private final Histogram times = new Histogram(3);
    private final Set<Integer> returning = new HashSet<>();
    private Map<String, Object> begin = Map.of();
    private List<HollowGateway.Upstream> upstreams = List.of();
    private int generations;
    private long before;
    private long snapshots;
    private long returnedAt;

    private HollowWorker() { }

    /** Runs until its input ends. */
    public static void main(String[] args) throws IOException {
        HollowWorker worker = new HollowWorker();
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Map<String, Object> response;
                try {
                    Map<String, Object> request = JSON.std.mapFrom(line);
                    response = request.get("do").equals("heap") ? Map.of("bytes", Math.max(0, live() - worker.before)) : worker.onLoop(() -> worker.execute(request));
                } catch (Exception e) {
                    response = Map.of("error", String.valueOf(e));
                }
                System.out.println(JSON.std.asString(response));
            }
        }
        System.exit(0);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private Map<String, Object> execute(Map<String, Object> request) throws Exception {
        switch (String.valueOf(request.get("do"))) {
            case "begin" -> {
                begin = request;
                upstreams = ((List<?>) request.get("machines")).stream().map(each -> upstream((Map<?, ?>) each)).toList();
                before = live();
            }
            case "open" -> {
                for (int i = 0; i < number(begin, "count"); i++) {
                    gateways.add(hollow(i, Table.empty(1)));
                }
            }
            case "behind" -> {
                long wanted = number(request, "revision");
                return Map.of("behind", gateways.stream().filter(each -> each.table().revision().number() < wanted).count());
            }
            case "times" -> {
                return times();
            }
            case "return" -> returns((int) number(request, "count"), Boolean.TRUE.equals(request.get("keep")));
            case "cut" -> cut(Boolean.TRUE.equals(request.get("on")));
            default -> throw new IllegalArgumentException("expected something that hollow gateways do, found " + request.get("do"));
        }
        return Map.of();
    }

    private static HollowGateway.Upstream upstream(Map<?, ?> told) {
        return new HollowGateway.Upstream(String.valueOf(told.get("name")), String.valueOf(told.get("zone")), Addresses.parse(String.valueOf(told.get("address"))));
    }

    private static long number(Map<String, Object> of, String key) {
        return ((Number) of.get(key)).longValue();
    }

    private int own(int index) {
        return (int) number(begin, "first") + index;
    }

    private String zone(int index) {
        return Layout.zone(own(index), (int) number(begin, "zones"));
    }

    private HollowGateway hollow(int index, Table have) {
        long[] last = {have.revision().number()};
        long opened = System.nanoTime() / 1_000;
        return new HollowGateway(loop, "hollow-" + own(index), zone(index), upstreams, have, number(begin, "seed") + own(index) + 10_000L * generations, (next, deltas) -> {
            long now = System.nanoTime();
            snapshots += deltas.isEmpty() ? 1 : 0;
            if (last[0] > 0) {
                seen(now / 1_000, opened, last[0], next, deltas);
            }
            if (returning.remove(index)) {
                returnedAt = now;
            }
            last[0] = next.revision().number();
        });
    }

    /** How long what is new took, by what its values say; what was asked for before the gateway began took no time of its own. */
    private void seen(long micros, long opened, long last, Table next, List<Delta> deltas) {
        deltas.forEach(delta -> delta.upserts().forEach(each -> seen(micros, opened, each)));
        if (deltas.isEmpty()) {
            next.forEach(ResourceKind.HOST, each -> {
                if (each.version() > last) {
                    seen(micros, opened, each);
                }
            });
        }
    }

    private void seen(long micros, long opened, Resource resource) {
        long at = Tables.at(resource.value());
        if (at >= opened) {
            times.recordValue(Math.max(0, micros - at));
        }
    }

    private Map<String, Object> times() {
        ByteBuffer bytes = ByteBuffer.allocate(times.getNeededByteBufferCapacity());
        int length = times.encodeIntoCompressedByteBuffer(bytes);
        Map<String, Object> response = Map.of("times", Base64.getEncoder().encodeToString(Arrays.copyOf(bytes.array(), length)), "snapshots", snapshots, "returned", returnedAt);
        times.reset();
        snapshots = 0;
        returnedAt = 0;
        return response;
    }

    /** The first ones end, and others of the same names begin. */
    private void returns(int count, boolean keep) {
        generations++;
        for (int i = 0; i < Math.min(count, gateways.size()); i++) {
            HollowGateway old = gateways.get(i);
            old.close();
            returning.add(i);
            gateways.set(i, hollow(i, keep ? old.table() : Table.empty(1)));
        }
    }

    /** The gateways of the first region reach nobody, or everybody again. */
    private void cut(boolean cut) {
        String region = Layout.zone(0, 1).replaceAll("-.*", "-");
        for (int i = 0; i < gateways.size(); i++) {
            if (zone(i).startsWith(region)) {
                gateways.get(i).cut(cut);
                if (!cut) {
                    returning.add(i);
                }
            }
        }
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
