package mastdrift.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import mastdrift.engine.Member;
import mastdrift.membership.ListLease;

/**
 * Client of the discovery service: fetches and watches the host list on one event loop. Failed calls and ended watches
 * are reported to the listener; the decision module decides when to call again, and {@link DiscoveryCallScheduler} sets
 * the latest time for it. When the address of discovery changes, a running watch or fetch is repeated at the new
 * address. Input that has reached the gateway but is still unread counts as delivered: it is read before its call is
 * closed, whatever the reason for closing.
 */
public final class Discovery {

    // Bounds the reads of one call's unread input: some hundred KB, more than a host list has at its largest.
    private static final int LOOKS = 16;

    /**
     * The removals and drains found in a list that is rejected or not complete yet.
     * @param version version of the list
     * @param namedUids the uids that the list names if it is a complete full list, so that all others are removed; else
     * null
     * @param leaving the entries that are draining or removed
     */
    public record Withdrawal(long version, Set<String> named, List<Member> leaving) { }

    /** Receives what discovery sends, on the thread of the event loop. */
    public interface Listener {
        /** A full list, or a change, has been accepted and is current from now on. */
        void listed(HostList list);

        /**
         * Only the removals and drains of a list are to be applied, since it was rejected or is incomplete. Returns
         * whether any host was taken out of service by it.
         */
        boolean withdrawn(Withdrawal withdrawal);

        /** A call has failed, or a watch has ended. */
        void failed(String cause);

        /** Something happened to a call that is worth a log line. */
        default void noted(String line) { }

        /** A call starts. */
        default void called() { }
    }

    /**
     * How the registry serves its lists.
     * @param pushed whether an agent on this machine serves them, which answers at once or is down; otherwise calls may
     * have to wait for their turn
     * @param validityMicros how long a list is valid without a watch, in microseconds; 0 without a setting
     * @param maxEventAgeMicros the longest time, in microseconds, that the event being handled now may have waited for
     * the event loop
     */
    record Terms(boolean pushed, long mustAskIn, LongSupplier unseen) { }

    private final EventLoop loop;
    private final Terms terms;
    private final ListLease lease;
    private boolean listHeld = true;  // result of the last validity check
    private InetSocketAddress at;
    private final Listener listener;
    private final ListIntake intake;
    private final Asked watch;
    private final Asked fetch;
    private int numbered;  // also numbers the calls in the log
    private int reading;  // depth of nested reads: reading one call may close others, which are read first

    /** {@code known} is the list that is current already. Calls may have to wait for their turn at the registry. */
    public Discovery(EventLoop loop, InetSocketAddress at, HostList known, Listener listener) {
        this(loop, at, new Terms(false, 0, () -> 0), known, listener);
    }

    /** As above, for a registry with other options. */
    Discovery(EventLoop loop, InetSocketAddress at, Terms terms, HostList known, Listener listener) {
        this.loop = loop;
        this.at = at;
        this.terms = terms;
        lease = terms.pushed ? ListLease.byAgent() : new ListLease(terms.mustAskIn);
        this.listener = listener;
        intake = new ListIntake(known, new Leasing(listener));
        long turn = terms.pushed ? CallSchedule.AGENT_TURN : CallSchedule.TURN;
        watch = new Asked(true, turn);
        fetch = new Asked(false, turn);
    }

    /** Starts or stops the watch. A watch that is running already goes on. */
    public void watch(boolean active) {
        if (active) {
            watch.schedule.ask(now());
        } else {
            watch.end(watch.schedule.end());
        }
        watch.step();
    }

    /** Requests the full list once, unless a fetch is running already. */
    void fetch() {
        fetch.schedule.ask(now());
        fetch.step();
    }

    /** Whether the current list may still be used. */
    public boolean listHolds() {
        boolean holds = lease.holds(now());
        if (holds != listHeld) {
            listHeld = holds;
            listener.noted(holds ? "the host list is valid again" : "the host list has expired: discovery may have sent changes that did not arrive");
        }
        return holds;
    }

    /** The earliest time at which the event being handled now may have arrived. */
    private long arrived() {
        return now() - terms.unseen.getAsLong();
    }

    /**
     * Reads the unread input of all open calls; what it contains is applied when this returns. Must be called on the
     * event loop. Returns false if more input may be left: within the read of a call nothing is read, since the input
     * of that call has to be applied first.
     */
    public boolean look() {
        if (reading > 0) {
            return false;
        }
        boolean all = true;
        for (Asked asked : List.of(watch, fetch)) {
            for (Channel channel : asked.schedule.calls()) {
                if (call(channel) != null) {
                    all &= Look.through(channel, LOOKS);
                }
            }
        }
        return all;
    }

    /**
     * Switches to another address. Open calls to the old address are closed: input that has arrived on them is still
     * applied, but their end is not reported.
     */
    void move(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        lease.moved(now());
        for (Asked asked : List.of(watch, fetch)) {
            asked.end(asked.schedule.moved(now()));
            asked.step();
        }
    }

    private boolean noneOut() {
        return watch.schedule.calls().isEmpty() && fetch.schedule.calls().isEmpty();
    }

    private static long now() {
        return System.nanoTime() / 1_000;
    }

    /** Null where no connection was set up. */
    private static DiscoveryCall call(Channel channel) {
        return channel.pipeline().get(DiscoveryCall.class);
    }

    /** Reports each accepted list to the lease before it is passed on. */
    private final class Leasing implements Listener {

        private final Listener then;

        Leasing(Listener then) {
            this.then = then;
        }

        @Override
        public void listed(HostList list) {
            lease.listed();
            then.listed(list);
        }

        @Override
        public boolean withdrawn(Withdrawal withdrawal) {
            return then.withdrawn(withdrawal);
        }

        @Override
        public void failed(String cause) {
            then.failed(cause);
        }
    }

    /** The watch or the fetch, and the hedged calls that are open for it. */
    private final class Asked implements DiscoveryCall.Owner {

        private final boolean watching;
        private final CallSchedule<Channel> schedule;
        private Future<?> due;
        private long dueAt = Long.MAX_VALUE;

        Asked(boolean watching, long turn) {
            this.watching = watching;
            schedule = new CallSchedule<>(turn, watching, ThreadLocalRandom.current()::nextLong);
        }

        /**
         * Does what the scheduler has due, and sets a timer for its next event. To be called after each change of the
         * scheduler.
         */
        private void step() {
            if (reading > 0) {  // the call that is being read may change what is due
                loop.execute(this::step);
                return;
            }
            closeOverdue();
            long now = now();
            if (schedule.begins(now)) {
                listener.called();
                lease.called(now);
                ChannelFuture dialled = dial();
                schedule.began(now, dialled.channel());
                // Netty reports a lack of file descriptors on a thread of its own.
                dialled.addListener(done -> loop.execute(() -> dialled(dialled)));
            }
            long next = schedule.due();
            if (next < dueAt) {  // a timer that fires too early finds nothing due and is set again
                if (due != null) {
                    due.cancel(false);
                }
                dueAt = next;
                due = loop.schedule(() -> {
                    dueAt = Long.MAX_VALUE;
                    step();
                }, Math.max(0, next - now), TimeUnit.MICROSECONDS);
            }
        }

        /**
         * Closes calls that have timed out. If the event loop was late, a call that seems silent may have an unread
         * line: input is read first, and a call that has received a line by then is no longer overdue.
         */
        private void closeOverdue() {
            for (Channel late : schedule.overdue(now())) {
                if (call(late) != null) {
                    Look.through(late, LOOKS);
                }
            }
            for (Channel late : schedule.overdue(now())) {
                DiscoveryCall call = call(late);
                String lack = call == null || !late.isActive() ? "no connection" : call.lacks(schedule.bound(late));
                if (call != null) {
                    call.endFor(lack);
                }
                if (schedule.out(late) && watching && call != null && call.hasTold()) {
                    lease.watchSilent();
                }
                failed(late, lack);
                late.close();
            }
        }

        private ChannelFuture dial() {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)  // the scheduler limits the connect time
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(), new DiscoveryCall(++numbered, Asked.this, watching, intake));
                        }
                    }).connect(at);
        }

        private void dialled(ChannelFuture dialled) {
            if (dialled.isSuccess()) {
                schedule.connected(now(), dialled.channel()).forEach(Channel::close);
                String path = watching ? "/v1/endpoints?watch=1&from=" + intake.askFrom() : "/v1/endpoints";
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(at));
                dialled.channel().writeAndFlush(request);
            } else {
                failed(dialled.channel(), "no connection");
            }
            step();
        }

        /**
         * Closes calls that were replaced or are no longer needed. Their unread input counts as delivered and may be
         * newer than the current list, so it is read first.
         */
        private void end(List<Channel> calls) {
            for (Channel channel : calls) {
                DiscoveryCall call = call(channel);
                if (call != null) {
                    call.end("replaced by another call, or no longer needed");
                    Look.through(channel, LOOKS);
                }
                channel.close();
            }
        }

        private void failed(Channel channel, String cause) {
            DiscoveryCall call = call(channel);
            boolean counts = schedule.out(channel);
            boolean told = watching && call != null && call.hasTold();
            if (schedule.failed(now(), channel)) {
                listener.failed(cause);
            }
            // part of a newer list had arrived, so this failure does not show that the registry is unreachable
            boolean cut = call != null && call.isUnfinished();
            if (counts && !told && !cut && noneOut()) {
                lease.callFailed();
            }
        }

        @Override
        public boolean counts(DiscoveryCall call) {
            return schedule.out(call.channel());
        }

        @Override
        public void begun(DiscoveryCall call) {
            if (watching) {
                lease.watchBegan(arrived());
            }
        }

        @Override
        public void lineCame(DiscoveryCall call) {
            lease.lineCame(arrived());
            endOthers(schedule.heard(now(), call.channel()), call);
        }

        @Override
        public void answered(DiscoveryCall call) {
            endOthers(schedule.answered(call.channel()), call);
        }

        private void endOthers(List<Channel> others, DiscoveryCall goesOn) {
            if (!others.isEmpty()) {
                end(others);
                goesOn.cover();
            }
        }

        @Override
        public void refused(DiscoveryCall call) {
            loop.execute(() -> {  // after the read that brought the rejected list
                Look.through(call.channel(), LOOKS);
                call.channel().close();
            });
        }

        @Override
        public void unfinished(boolean begins) {
            if (begins) {
                lease.listBegan(arrived());
            } else {
                lease.nothingUnfinished();
            }
        }

        @Override
        public void ended(DiscoveryCall call, String cause) {
            if (watching && call.hasTold() && schedule.out(call.channel())) {
                lease.watchEnded(arrived());
            }
            failed(call.channel(), cause);
            // after the whole turn of the event loop, which may also bring a line of another call
            loop.execute(this::step);
        }

        @Override
        public void noted(String line) {
            listener.noted(line);
        }

        @Override
        public void reading(boolean begins) {
            reading += begins ? 1 : -1;
        }
    }
}
