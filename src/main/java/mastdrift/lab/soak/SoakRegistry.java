package mastdrift.lab.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
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
import java.util.concurrent.locks.LockSupport;
import mastdrift.lab.soak.SoakPlan.RegistryMode;

/** A registry with an address for each process of a gateway, in the platform's form and one of its modes, in trouble by word of who plays. Records what it wrote, to whom and when, and when it
    ended a watch or refused a call. */
final class SoakRegistry implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 2_000;
    private static final int TURN_MILLIS = 90;
    private static final int TURNS_MOST_MILLIS = 4_000;
    private static final int PIECE_MILLIS = 25;
    private static final int PIECES_OF = 6;

    /** A server as listed; {@code changed} is the version that did so. */
    private record Entry(String uid, String address, String state, long bornMillis, long changed) {

        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"a\",\"model\":\"std\",\"pod_group\":1,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bornMillis + "}";
        }

        boolean inService() {
            return state.equals("in_service");
        }
    }

    /** What is wrong with the next list of a watch. */
    private enum Odd { NOTHING, ENDS_INSTEAD, CUT, NEVER_WHOLE, SPOILT }

    /** One watch of a gateway. */
    private final class Watch {
        private final String gateway;
        private final Socket socket;
        private Odd odd = Odd.NOTHING;
        private boolean silent;
        private boolean ended;

        Watch(String gateway, Socket socket) {
            this.gateway = gateway;
            this.socket = socket;
        }

        private void chunk(String text) throws IOException {
            if (!text.isEmpty()) {
                OutputStream out = socket.getOutputStream();
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        }

        private void line(String text) throws IOException {
            String whole = text + "\n";
            int cut = random.nextInt(whole.length());
            chunk(whole.substring(0, cut));
            if (mode != RegistryMode.PUSHED && (inPieces || random.nextInt(PIECES_OF) == 0)) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(PIECE_MILLIS)));
            }
            chunk(whole.substring(cut));
        }

        /** Writes a list, or what is left of it by what is odd about this watch, and records who is told out of service by that. */
        void tell(boolean whole, List<Entry> named) {
            if (silent || ended) {
                return;
            }
            Odd now = odd;
            odd = Odd.NOTHING;
            try {
                switch (now) {
                    case ENDS_INSTEAD -> end(random.nextBoolean());
                    case CUT -> {
                        part(list(whole, named), named);
                        end(true);
                    }
                    case NEVER_WHOLE -> {
                        part(list(whole, named), named);
                        fallSilent();
                    }
                    default -> {
                        line(now == Odd.SPOILT ? spoilt() + "\n" + list(whole, named) : list(whole, named));
                        recordWritten(whole, named);
                    }
                }
            } catch (IOException e) {
                ended = true;
                watches.remove(this);
            }
        }

        private void recordWritten(boolean whole, List<Entry> named) {
            long at = record.now();
            record.written.add(new SoakRecord.Written(gateway, "", at));
            for (Entry entry : whole ? entries.values() : named) {
                if (!entry.inService()) {
                    record.written.add(new SoakRecord.Written(gateway, entry.uid, at));
                }
            }
        }

        /** What comes of a list that is cut: entries that were written to their end have been told. */
        private void part(String list, List<Entry> named) throws IOException {
            String part = list.substring(0, 1 + random.nextInt(list.length() - 1));
            chunk(part);
            long at = record.now();
            named.stream().filter(entry -> !entry.inService() && part.contains(entry.json())).forEach(entry -> record.written.add(new SoakRecord.Written(gateway, entry.uid, at)));
        }

        void beat() {
            try {
                if (!silent && !ended) {
                    chunk("\n");
                }
            } catch (IOException e) {
                ended = true;
                watches.remove(this);
            }
        }

        void fallSilent() {
            if (!silent) {
                silent = true;
                record.watchesLost.add(new SoakRecord.WatchLost(gateway, true, record.now()));
            }
        }

        void end(boolean reset) {
            if (!ended) {
                ended = true;
                watches.remove(this);
                if (!silent) {
                    record.watchesLost.add(new SoakRecord.WatchLost(gateway, false, record.now()));
                }
                close(socket, reset);
            }
        }
    }

    private final SoakRecord record;
    private final RegistryMode mode;
    private final ScheduledExecutorService timer;
    private final Random random;
    private final Map<String, ServerSocket> listeners = new LinkedHashMap<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long version = 1;
    private long downSince = -1;
    private long crowdedUntil = -1;
    private long turnsTakenUntil;
    private int slowMillis;
    private volatile boolean inPieces;

    SoakRegistry(SoakRecord record, RegistryMode mode, ScheduledExecutorService timer, Random random) {
        this.record = record;
        this.mode = mode;
        this.timer = timer;
        this.random = random;
        timer.scheduleAtFixedRate(this::beat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void close(Socket socket, boolean reset) {
        try {
            if (reset) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        } catch (IOException e) {
            return;  // it has ended by itself
        }
    }

    /** An address for a process; throws IOException where none is free. */
    synchronized String open(String gateway) throws IOException {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        listeners.put(gateway, listener);
        Thread accepting = new Thread(() -> accept(gateway, listener), "soak-registry-" + gateway);
        accepting.setDaemon(true);
        accepting.start();
        return "127.0.0.1:" + ((InetSocketAddress) listener.getLocalSocketAddress()).getPort();
    }

    /** The processes that have an address. */
    synchronized List<String> gateways() {
        return List.copyOf(listeners.keySet());
    }

    /** A process has ended: its address is gone. */
    synchronized void forget(String gateway) throws IOException {
        ServerSocket listener = listeners.remove(gateway);
        if (listener != null) {
            listener.close();
        }
    }

    /** A process finds it elsewhere from now on, and is told so by who calls; where it was nothing answers any more. Its watches there end. */
    synchronized String move(String gateway) throws IOException {
        forget(gateway);
        String address = open(gateway);
        List.copyOf(watches).stream().filter(watch -> watch.gateway.equals(gateway)).forEach(watch -> watch.end(true));
        return address;
    }

    /** The whole list as it is now. */
    synchronized String whole() {
        return list(true, listable());
    }

    private List<Entry> listable() {
        return entries.values().stream().filter(entry -> !entry.state.equals("terminated")).toList();
    }

    private String list(boolean whole, List<Entry> of) {
        return "{\"rev\":" + version + ",\"all\":" + whole + ",\"targets\":[" + String.join(",", of.stream().map(Entry::json).toList()) + "]}";
    }

    private String spoilt() {
        Entry any = entries.values().iterator().next();
        return switch (random.nextInt(4)) {
            case 0 -> list(false, List.of(any, any));
            case 1 -> list(false, List.of(any)).replace("\"capacity_hint\":1.0", "\"capacity_hint\":-1");
            case 2 -> "{\"rev\":" + Math.max(0, version - 2) + ",\"all\":false,\"targets\":[" + any.json() + "]}";
            default -> "{\"rev\":" + version + ",\"all\":false,\"targets\":[{\"uid\":\"s0\"";
        };
    }

    /** Lists a server, and tells so on every watch. */
    synchronized void change(String uid, String address, String state, long bornMillis) {
        version++;
        Entry entry = new Entry(uid, address, state, bornMillis, version);
        entries.put(uid, entry);
        record.listed.add(new SoakRecord.Listed(version, uid, entry.inService(), record.now()));
        if (mode == RegistryMode.PUSHED && downSince >= 0) {
            return;  // the agent hears it with the registry's return
        }
        for (Watch watch : List.copyOf(watches)) {
            watch.tell(false, List.of(entry));
            if (mode == RegistryMode.POLLED) {
                watch.end(false);
            }
        }
    }

    private synchronized void beat() {
        List.copyOf(watches).forEach(Watch::beat);
    }

    // ---- trouble

    synchronized void silence() {
        watches.forEach(Watch::fallSilent);
    }

    synchronized void resetWatches() {
        List.copyOf(watches).forEach(watch -> watch.end(true));
    }

    synchronized void endInsteadOfTelling() {
        watches.forEach(watch -> watch.odd = Odd.ENDS_INSTEAD);
    }

    synchronized void cutNext() {
        watches.forEach(watch -> watch.odd = Odd.CUT);
    }

    synchronized void neverWhole() {
        watches.forEach(watch -> watch.odd = Odd.NEVER_WHOLE);
    }

    synchronized void spoil() {
        watches.forEach(watch -> watch.odd = Odd.SPOILT);
    }

    synchronized void slow(int millis) {
        slowMillis = mode == RegistryMode.PUSHED ? 0 : millis;
    }

    void pieces(boolean on) {
        inPieces = on;
    }

    /** Calls that come within so many milliseconds are refused, as by one that has too many callers. */
    synchronized void crowded(int millis) {
        crowdedUntil = record.now() + millis * 1_000L;
    }

    synchronized void goesDown() {
        if (downSince >= 0) {
            return;
        }
        downSince = record.now();
        if (mode != RegistryMode.PUSHED) {
            resetWatches();
        }
    }

    synchronized void returns() {
        if (downSince < 0) {
            return;
        }
        record.outages.add(new SoakRecord.Outage(downSince, record.now()));
        downSince = -1;
        if (mode == RegistryMode.PUSHED) {
            List.copyOf(watches).forEach(watch -> watch.tell(true, listable()));
        }
    }

    // ---- calls

    private void accept(String gateway, ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread call = new Thread(() -> hear(gateway, socket), "soak-call-" + gateway);
                call.setDaemon(true);
                call.start();
            }
        } catch (IOException e) {
            return;  // it has moved, or the run is over
        }
    }

    private void hear(String gateway, Socket socket) {
        try {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String request = in.readLine();
            for (String header = request; header != null && !header.isEmpty();) {
                header = in.readLine();
            }
            if (request == null) {
                socket.close();
                return;
            }
            long from = request.contains("from=") ? Long.parseLong(request.replaceAll(".*from=(\\d+).*", "$1")) : 0;
            take(gateway, socket, from);
            while (in.read() >= 0) {
                continue;  // a gateway says nothing more on a call
            }
            givenUp(socket);
        } catch (IOException e) {
            givenUp(socket);
        }
    }

    /** The gateway has closed it: what would be written there is told to nobody. */
    private synchronized void givenUp(Socket socket) {
        List.copyOf(watches).stream().filter(watch -> watch.socket == socket).forEach(watch -> {
            watch.ended = true;
            watches.remove(watch);
        });
    }

    private synchronized void take(String gateway, Socket socket, long from) {
        long now = record.now();
        if (downSince >= 0 && mode == RegistryMode.PUSHED) {
            watches.add(new Watch(gateway, socket));  // it has the agent's word once there is one
            head(socket);
            return;
        }
        if (downSince >= 0 || now < crowdedUntil) {
            refuse(gateway, socket);
            return;
        }
        long waits = slowMillis * 1_000L;
        if (mode == RegistryMode.TURNS) {
            long begins = Math.max(now, turnsTakenUntil);
            if (begins - now > TURNS_MOST_MILLIS * 1_000L) {
                refuse(gateway, socket);
                return;
            }
            turnsTakenUntil = begins + TURN_MILLIS * 1_000L;
            waits += turnsTakenUntil - now;
        }
        timer.schedule(() -> answer(gateway, socket, from), waits, TimeUnit.MICROSECONDS);
    }

    private void refuse(String gateway, Socket socket) {
        record.callsFailed.add(new SoakRecord.CallFailed(gateway, record.now()));
        try {
            if (random.nextBoolean()) {
                socket.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                socket.close();
            } else {
                close(socket, true);
            }
        } catch (IOException e) {
            return;  // the gateway has given it up
        }
    }

    private static boolean head(Socket socket) {
        try {
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return true;
        } catch (IOException e) {
            return false;  // the gateway has given it up
        }
    }

    private synchronized void answer(String gateway, Socket socket, long from) {
        if (downSince >= 0) {
            refuse(gateway, socket);
            return;
        }
        if (!head(socket)) {
            return;
        }
        Watch watch = new Watch(gateway, socket);
        watches.add(watch);
        boolean whole = from == 0 || random.nextInt(3) == 0;
        boolean leavesOut = whole && random.nextBoolean();
        watch.tell(whole, whole ? listable().stream().filter(entry -> entry.inService() || !leavesOut).toList()
                : entries.values().stream().filter(entry -> entry.changed > from).toList());
    }

    @Override
    public synchronized void close() throws IOException {
        List.copyOf(watches).forEach(watch -> watch.end(true));
        for (ServerSocket listener : listeners.values()) {
            listener.close();
        }
    }
}
