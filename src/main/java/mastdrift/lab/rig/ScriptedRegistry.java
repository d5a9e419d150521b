package mastdrift.lab.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/** A registry with an address for each gateway, in the platform's form, whose watches fall silent, are reset, answer slowly, or are gone for a while, by word of who plays. It keeps
    when it has written which end of service to whom. */
final class ScriptedRegistry implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 2_000;
    // One line of so many comes in two pieces with a pause between.
    private static final int IN_PIECES = 5;
    private static final int PIECE_NANOS = 30_000_000;

    /** An endpoint as listed; {@code changed} is the version that did so. */
    private record Entry(String uid, String address, String state, long bornMillis, long changed) {

        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"a\",\"model\":\"std\",\"pod_group\":1,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bornMillis + "}";
        }

        boolean inService() {
            return state.equals("in_service");
        }
    }

    /** One watch of a gateway. */
    private final class Watch {
        private final String gateway;
        private final Socket socket;
        private final OutputStream out;
        private boolean silent;

        Watch(String gateway, Socket socket) throws IOException {
            this.gateway = gateway;
            this.socket = socket;
            out = socket.getOutputStream();
        }

        private void line(String text) throws IOException {
            byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
            int cut = random.nextInt(bytes.length);
            chunk(bytes, 0, cut);
            if (random.nextInt(IN_PIECES) == 0) {
                LockSupport.parkNanos(random.nextInt(PIECE_NANOS));
            }
            chunk(bytes, cut, bytes.length);
        }

        private void chunk(byte[] bytes, int from, int to) throws IOException {
            if (from < to) {
                out.write((Integer.toHexString(to - from) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(bytes, from, to - from);
                written.addAndGet(to - from);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        }

        /** Writes the entries as one list, behind one that can't be taken where that was asked for, and keeps what it thereby told. */
        private void tell(boolean whole, List<Entry> told) {
            if (silent) {
                return;
            }
            try {
                String list = list(whole, told);
                line(oddLine == null ? list : oddLine + "\n" + list);
                long now = clock.getAsLong();
                told.stream().filter(entry -> !entry.inService()).forEach(entry -> checker.told(gateway, entry.uid, now));
                if (whole) {
                    entries.values().stream().filter(entry -> !entry.inService()).forEach(entry -> checker.told(gateway, entry.uid, now));
                }
            } catch (IOException e) {
                end();
            }
        }

        private void beat() {
            try {
                if (!silent) {
                    line("");
                }
            } catch (IOException e) {
                end();
            }
        }

        private void end() {
            watches.remove(this);
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                return;  // it has ended by itself
            }
        }
    }

    private final DrainChecker checker;
    private final LongSupplier clock;
    private final ScheduledExecutorService timer;
    private final Random random;
    private final Map<String, ServerSocket> listeners = new LinkedHashMap<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final AtomicLong written = new AtomicLong();
    private long version = 1;
    private long downSince = -1;
    private long answerDelayMillis;
    private long refusedAfterMillis = -1;
    private String oddLine;

    ScriptedRegistry(List<String> gateways, DrainChecker checker, LongSupplier clock, ScheduledExecutorService timer, Random random) throws IOException {
        this.checker = checker;
        this.clock = clock;
        this.timer = timer;
        this.random = random;
        for (String gateway : gateways) {
            listen(gateway);
        }
        timer.scheduleAtFixedRate(this::beat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void listen(String gateway) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        listeners.put(gateway, listener);
        Thread accepting = new Thread(() -> accept(gateway, listener), "registry-" + gateway);
        accepting.setDaemon(true);
        accepting.start();
    }

    /** It is elsewhere from now on; where it was, nothing answers any more. */
    synchronized void move() throws IOException {
        for (Map.Entry<String, ServerSocket> each : List.copyOf(listeners.entrySet())) {
            each.getValue().close();
            listen(each.getKey());
        }
        reset();
    }

    /** Bytes of lines that were written so far. */
    long written() {
        return written.get();
    }

    /** Where a gateway finds it. */
    String address(String gateway) {
        return "127.0.0.1:" + ((InetSocketAddress) listeners.get(gateway).getLocalSocketAddress()).getPort();
    }

    /** The whole list as it is now. */
    synchronized String whole() {
        return list(true, listable());
    }

    /** Removed endpoints are named among changes alone; who drains may be left out of a whole list. */
    private List<Entry> listable() {
        return entries.values().stream().filter(entry -> !entry.state.equals("terminated")).toList();
    }

    private String list(boolean whole, List<Entry> of) {
        return "{\"rev\":" + version + ",\"all\":" + whole + ",\"targets\":[" + String.join(",", of.stream().map(Entry::json).toList()) + "]}";
    }

    /** Changes an endpoint and tells so on every watch, each by itself in a drawn order. */
    synchronized void change(String uid, String address, String state, long bornMillis) {
        version++;
        Entry entry = new Entry(uid, address, state, bornMillis, version);
        entries.put(uid, entry);
        checker.listed(uid, entry.inService(), clock.getAsLong());
        for (Watch watch : List.copyOf(watches)) {
            watch.tell(false, List.of(entry));
        }
        oddLine = null;
    }

    /** All open watches stay up and say nothing any more. */
    synchronized void silence() {
        watches.forEach(watch -> watch.silent = true);
    }

    /** All open watches are reset. */
    synchronized void reset() {
        List.copyOf(watches).forEach(Watch::end);
    }

    /** From now on a call is answered so late. */
    synchronized void slow(long millis) {
        answerDelayMillis = millis;
    }

    /** The next change comes behind a list in the same write that can't be taken, in one of several ways. */
    synchronized void spoil() {
        Entry any = entries.values().iterator().next();
        String entry = any.json();
        oddLine = switch (random.nextInt(4)) {
            case 0 -> list(false, List.of(any, any));
            case 1 -> list(false, List.of(any)).replace("\"capacity_hint\":1.0", "\"capacity_hint\":-1");
            case 2 -> "{\"rev\":" + Math.max(0, version - 2) + ",\"all\":false,\"targets\":[" + entry + "]}";
            default -> "{\"rev\":" + version + ",\"all\":false,\"targets\":[{\"uid\":\"s0\"";
        };
    }

    /** Calls wait for so long and are refused, until {@link #returns}; watches end. To who calls that is the same as a registry that is down. */
    synchronized void crowd(long millis) {
        refusedAfterMillis = millis;
        goesDown();
    }

    /** Calls are refused and watches end, until {@link #returns}. */
    synchronized void goesDown() {
        downSince = clock.getAsLong();
        reset();
    }

    synchronized void returns() {
        if (downSince >= 0) {
            checker.outage(downSince, clock.getAsLong());
        }
        downSince = -1;
        refusedAfterMillis = -1;
    }

    private synchronized void beat() {
        List.copyOf(watches).forEach(Watch::beat);
    }

    private void accept(String gateway, ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread call = new Thread(() -> answer(gateway, socket), "registry-call-" + gateway);
                call.setDaemon(true);
                call.start();
            }
        } catch (IOException e) {
            return;  // the play is over
        }
    }

    private void answer(String gateway, Socket socket) {
        try {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String request = in.readLine();
            String header = request;
            while (header != null && !header.isEmpty()) {
                header = in.readLine();
            }
            if (header == null) {
                socket.close();
                return;
            }
            long from = Long.parseLong(request.replaceAll(".*from=(\\d+).*", "$1"));
            long refused = refusedAfter();
            if (refused >= 0) {
                timer.schedule(() -> refuse(socket), refused, TimeUnit.MILLISECONDS);
            } else {
                timer.schedule(() -> begin(gateway, socket, from), answerDelayMillis, TimeUnit.MILLISECONDS);
            }
        } catch (IOException e) {
            return;  // the gateway has given it up
        }
    }

    private synchronized long refusedAfter() {
        return refusedAfterMillis;
    }

    private static void refuse(Socket socket) {
        try (socket) {
            socket.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            return;  // the gateway has given it up
        }
    }

    private synchronized void begin(String gateway, Socket socket, long from) {
        try {
            if (downSince >= 0) {
                socket.setSoLinger(true, 0);
                socket.close();
                return;
            }
            Watch watch = new Watch(gateway, socket);
            watch.out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            watches.add(watch);
            boolean whole = from == 0 || random.nextInt(3) == 0;
            boolean leavesOutDraining = whole && random.nextBoolean();
            watch.tell(whole, whole ? listable().stream().filter(entry -> entry.inService() || !leavesOutDraining).toList()
                    : entries.values().stream().filter(entry -> entry.changed > from).toList());
        } catch (IOException e) {
            return;  // the gateway has given it up
        }
    }

    @Override
    public void close() {
        reset();
        for (ServerSocket listener : listeners.values()) {
            try {
                listener.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
