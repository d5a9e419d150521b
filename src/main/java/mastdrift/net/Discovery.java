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
import java.util.stream.Stream;
import mastdrift.engine.Member;
import mastdrift.membership.CallFailure;
import mastdrift.membership.HostListLease;

/**
 * Client of the discovery service: fetches and watches the host list on one event loop. Failed calls and ended watches
 * are reported to the listener; the decision module decides when to call again, and {@link DiscoveryCallScheduler} sets
 * the latest time for it. When the address of discovery changes, a running watch or fetch is repeated at the new
 * address. Input that has reached the gateway but is still unread counts as delivered: it is read before its call is
 * closed, whatever the reason for closing.
 */
public final class Discovery {

    // Bounds the reads of one call's unread input: some hundred KB, more than a host list has at its largest.
    private static final int MAX_READS_PER_CALL = 16;

    /**
     * The removals and drains found in a list that is rejected or not complete yet.
     * @param version version of the list
     * @param namedUids the uids that the list names if it is a complete full list, so that all others are removed; else
     * null
     * @param leaving the entries that are draining or removed
     */
    public record Withdrawal(long version, Set<String> namedUids, List<Member> leaving) { }

    /** Receives what discovery sends, on the thread of the event loop. */
    public interface Listener {
        /** A full list, or a change, has been accepted and is current from now on. */
        void listAccepted(HostList list);

        /**
         * Only the removals and drains of a list are to be applied, since it was rejected or is incomplete. Returns
         * whether any host was taken out of service by it.
         */
        boolean hostsWithdrawn(Withdrawal withdrawal);

        /** A call has failed, or a watch has ended. */
        void callFailed(String cause);

        /** Something happened to a call that is worth a log line. */
        default void logEvent(String line) { }

        /** A call starts. */
        default void callStarted() { }
    }

    /**
     * How the registry serves its lists.
     * @param pushed whether an agent on this machine serves them, which answers at once or is down; otherwise calls may
     * have to wait for their turn
     * @param validityMicros how long a list is valid without a watch, in microseconds; 0 without a setting
     * @param maxEventAgeMicros the longest time, in microseconds, that the event being handled now may have waited for
     * the event loop
     */
    record RegistryOptions(boolean pushed, long validityMicros, LongSupplier maxEventAgeMicros) { }

    private final EventLoop loop;
    private final RegistryOptions options;
    private final HostListLease lease;
    private boolean lastListValid = true;  // result of the last validity check
    private InetSocketAddress address;
    private final Listener listener;
    private final HostListIntake intake;
    private final CallGroup watch;
    private final CallGroup fetch;
    private boolean listReceived;
    private int callCount;  // also numbers the calls in the log
    private int readDepth;  // depth of nested reads: reading one call may close others, which are read first

    /** {@code known} is the list that is current already. Calls may have to wait for their turn at the registry. */
    public Discovery(EventLoop loop, InetSocketAddress address, HostList known, Listener listener) {
        this(loop, address, new RegistryOptions(false, 0, () -> 0), known, listener);
    }

    /** As above, for a registry with other options. */
    Discovery(EventLoop loop, InetSocketAddress address, RegistryOptions options, HostList known, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.options = options;
        lease = options.pushed ? HostListLease.pushedByAgent() : new HostListLease(options.validityMicros);
        this.listener = listener;
        intake = new HostListIntake(known, new LeaseUpdater(listener));
        long responseTimeoutMicros = options.pushed ? DiscoveryCallScheduler.AGENT_RESPONSE_TIMEOUT_MICROS
                : DiscoveryCallScheduler.RESPONSE_TIMEOUT_MICROS;
        watch = new CallGroup(true, responseTimeoutMicros);
        fetch = new CallGroup(false, responseTimeoutMicros);
    }

    /** Starts or stops the watch. A watch that is running already goes on. */
    public void watch(boolean active) {
        if (active) {
            watch.scheduler.request(nowMicros());
        } else {
            watch.closeUnneeded(watch.scheduler.cancel());
        }
        watch.runDueActions();
    }

    /** Requests the full list once, unless a fetch is running already. */
    void fetch() {
        fetch.scheduler.request(nowMicros());
        fetch.runDueActions();
    }

    /** Clients are served from now on, by the list from before the start of this process if no other one has arrived. */
    void useEarlierList() {
        if (!listReceived) {
            lease.earlierListUsed();
        }
    }

    /** Whether the current list may still be used. */
    public boolean isListValid() {
        boolean valid = lease.isValid(nowMicros());
        if (valid != lastListValid) {
            lastListValid = valid;
            listener.logEvent(valid ? "the host list is valid again"
                    : "the host list has expired: discovery may have sent changes that did not arrive");
        }
        return valid;
    }

    /** The earliest time at which the event being handled now may have arrived. */
    private long earliestArrivalMicros() {
        return nowMicros() - options.maxEventAgeMicros.getAsLong();
    }

    /**
     * Reads the unread input of all open calls; what it contains is applied when this returns. Must be called on the
     * event loop. Returns false if more input may be left: within the read of a call nothing is read, since the input
     * of that call has to be applied first.
     */
    public boolean readUnreadInput() {
        if (readDepth > 0) {
            return false;
        }
        boolean allRead = true;
        for (CallGroup group : List.of(watch, fetch)) {
            for (Channel channel : group.scheduler.openCalls()) {
                if (callOf(channel) != null) {
                    allRead &= UnreadInput.readAll(channel, MAX_READS_PER_CALL);
                }
            }
        }
        return allRead;
    }

    /**
     * Switches to another address. Open calls to the old address are closed: input that has arrived on them is still
     * applied, but their end is not reported.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        for (CallGroup group : List.of(watch, fetch)) {
            group.closeUnneeded(group.scheduler.addressChanged(nowMicros()));
        }
        // behind the unread lists of the old address, which say nothing about the new one
        lease.registryMoved(nowMicros());
        watch.runDueActions();
        fetch.runDueActions();
    }

    /** The connections of the open calls. */
    List<Channel> openChannels() {
        return Stream.concat(watch.scheduler.openCalls().stream(), fetch.scheduler.openCalls().stream()).toList();
    }

    /** Whether a watch is open that has received a line. */
    private boolean hasWatch() {
        return watch.scheduler.isReceiving();
    }

    private static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /** Null where no connection was set up. */
    private static DiscoveryCall callOf(Channel channel) {
        return channel.pipeline().get(DiscoveryCall.class);
    }

    /** Reports each accepted list to the lease before it is passed on. */
    private final class LeaseUpdater implements Listener {

        private final Listener delegate;

        LeaseUpdater(Listener delegate) {
            this.delegate = delegate;
        }

        @Override
        public void listAccepted(HostList list) {
            listReceived = true;
            lease.listAccepted(earliestArrivalMicros());
            delegate.listAccepted(list);
        }

        @Override
        public boolean hostsWithdrawn(Withdrawal withdrawal) {
            return delegate.hostsWithdrawn(withdrawal);
        }

        @Override
        public void callFailed(String cause) {
            delegate.callFailed(cause);
        }
    }

    /** The watch or the fetch, and the hedged calls that are open for it. */
    private final class CallGroup implements DiscoveryCall.Owner {

        private final boolean watching;
        private final DiscoveryCallScheduler<Channel> scheduler;
        private Future<?> timer;
        private long timerAtMicros = Long.MAX_VALUE;

        CallGroup(boolean watching, long responseTimeoutMicros) {
            this.watching = watching;
            scheduler = new DiscoveryCallScheduler<>(responseTimeoutMicros, watching,
                    ThreadLocalRandom.current()::nextLong);
        }

        /**
         * Does what the scheduler has due, and sets a timer for its next event. To be called after each change of the
         * scheduler.
         */
        private void runDueActions() {
            if (readDepth > 0) {  // the call that is being read may change what is due
                loop.execute(this::runDueActions);
                return;
            }
            closeOverdue();
            long now = nowMicros();
            if (scheduler.shouldStartCall(now)) {
                listener.callStarted();
                lease.callStarted(now);
                ChannelFuture connecting = dial();
                scheduler.callStarted(now, connecting.channel());
                // Netty reports a lack of file descriptors on a thread of its own.
                connecting.addListener(done -> loop.execute(() -> connectFinished(connecting)));
            }
            long nextEventMicros = scheduler.nextEventTime();
            if (nextEventMicros < timerAtMicros) {  // a timer that fires too early finds nothing due and is set again
                if (timer != null) {
                    timer.cancel(false);
                }
                timerAtMicros = nextEventMicros;
                timer = loop.schedule(() -> {
                    timerAtMicros = Long.MAX_VALUE;
                    runDueActions();
                }, Math.max(0, nextEventMicros - now), TimeUnit.MICROSECONDS);
            }
        }

        /**
         * Closes calls that have timed out. If the event loop was late, a call that seems silent may have an unread
         * line: input is read first, and a call that has received a line by then is no longer overdue.
         */
        private void closeOverdue() {
            for (Channel overdue : scheduler.overdueCalls(nowMicros())) {
                if (callOf(overdue) != null) {
                    UnreadInput.readAll(overdue, MAX_READS_PER_CALL);
                }
            }
            for (Channel overdue : scheduler.overdueCalls(nowMicros())) {
                DiscoveryCall call = callOf(overdue);
                String reason = call == null || !overdue.isActive() ? "no connection"
                        : call.describeTimeout(scheduler.timeout(overdue));
                if (call != null) {
                    call.setCloseReason(reason);
                }
                if (scheduler.isOpen(overdue) && watching && call != null && call.hasReceivedLine()) {
                    lease.watchTimedOut();
                }
                callFailed(overdue, reason);
                overdue.close();
            }
        }

        private ChannelFuture dial() {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)  // the scheduler limits the connect time
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(),
                                    new DiscoveryCall(++callCount, CallGroup.this, watching, intake));
                        }
                    }).connect(address);
        }

        private void connectFinished(ChannelFuture connecting) {
            if (connecting.isSuccess()) {
                scheduler.connected(nowMicros(), connecting.channel()).forEach(Channel::close);
                String path = watching ? "/v1/endpoints?watch=1&from=" + intake.watchFromVersion() : "/v1/endpoints";
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
                connecting.channel().writeAndFlush(request);
            } else if (scheduler.isOpen(connecting.channel())) {
                callFailed(connecting.channel(), "no connection", LocalSystemError.isCauseOf(connecting.cause())
                        ? CallFailure.LOCAL_ERROR : CallFailure.UNREACHABLE);
            }
            runDueActions();
        }

        /**
         * Closes calls that were replaced or are no longer needed. Their unread input counts as delivered and may be
         * newer than the current list, so it is read first.
         */
        private void closeUnneeded(List<Channel> calls) {
            for (Channel channel : calls) {
                DiscoveryCall call = callOf(channel);
                if (call != null) {
                    call.markClosing("replaced by another call, or no longer needed");
                    UnreadInput.readAll(channel, MAX_READS_PER_CALL);
                }
                channel.close();
            }
        }

        private void callFailed(Channel channel, String cause) {
            DiscoveryCall call = callOf(channel);
            if (scheduler.isOpen(channel)) {
                callFailed(channel, cause, scheduler.failureOf(nowMicros(), channel, call != null && call.wasRefused()));
            }
        }

        private void callFailed(Channel channel, String cause, CallFailure failure) {
            DiscoveryCall call = callOf(channel);
            boolean receivedLine = watching && call != null && call.hasReceivedLine();
            if (scheduler.callFailed(nowMicros(), channel, failure)) {
                listener.callFailed(cause);
            }
            // part of a newer list had arrived, so this failure does not show that the registry is unreachable
            boolean partialList = call != null && call.hasPartialList();
            if (!receivedLine && !partialList && !hasWatch()) {
                lease.callFailed(nowMicros(), failure, watch.scheduler.hasWaitingCall() || fetch.scheduler.hasWaitingCall());
            }
        }

        @Override
        public boolean isOpen(DiscoveryCall call) {
            return scheduler.isOpen(call.channel());
        }

        @Override
        public void responseStarted(DiscoveryCall call) {
            if (watching) {
                lease.watchStarted(earliestArrivalMicros());
            }
        }

        @Override
        public void lineReceived(DiscoveryCall call) {
            lease.lineReceived(earliestArrivalMicros());
            closeOthers(scheduler.lineReceived(nowMicros(), call.channel()), call);
        }

        @Override
        public void responseCompleted(DiscoveryCall call) {
            closeOthers(scheduler.responseCompleted(call.channel()), call);
        }

        private void closeOthers(List<Channel> others, DiscoveryCall remaining) {
            if (!others.isEmpty()) {
                closeUnneeded(others);
                remaining.markCovered();
            }
        }

        @Override
        public void listRejected(DiscoveryCall call) {
            loop.execute(() -> {  // after the read that brought the rejected list
                UnreadInput.readAll(call.channel(), MAX_READS_PER_CALL);
                call.channel().close();
            });
        }

        @Override
        public void partialListChanged(boolean present) {
            if (present) {
                lease.partialListStarted(earliestArrivalMicros());
            } else {
                lease.partialListCleared();
            }
        }

        @Override
        public void inputLost(DiscoveryCall call) {
            lease.inputLost(nowMicros());
        }

        @Override
        public void connectionClosed(DiscoveryCall call, String cause) {
            if (watching && call.hasReceivedLine() && scheduler.isOpen(call.channel())) {
                lease.watchEnded(earliestArrivalMicros());
            }
            callFailed(call.channel(), cause);
            // after the whole turn of the event loop, which may also bring a line of another call
            loop.execute(this::runDueActions);
        }

        @Override
        public void logEvent(String line) {
            listener.logEvent(line);
        }

        @Override
        public void readingChanged(boolean starts) {
            readDepth += starts ? 1 : -1;
        }
    }
}
