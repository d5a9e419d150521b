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

/** Fetches and watches the list of hosts. That calls fail, or a watch ends, is told; the module decides when to ask again, and
    {@link CallSchedule} by when at the latest. Discovery may move: then what was asked for is asked for at the new address. What has been
    written on a call counts as told: it is read before the call ends, whoever ends it. */
public final class Discovery {

    private static final int LOOKS = 16;  // at what stands unread on a call that ends: some hundred KB, more than a list of the largest days has

    /**
     * Of a list that is not put in force: who drains or is gone by it.
     *
     * @param version the list's
     * @param named whom the list names, where it is whole; null where it is not
     * @param leaving the entries that are draining or removed
     */
    public record Withdrawal(long version, Set<String> named, List<Member> leaving) { }

    /** Hears what discovery tells, on the loop's thread. */
    public interface Listener {
        /** A list, or a change, that is in force from here on. */
        void listed(HostList list);

        /** A list was refused, but for what is certain in it. Returns whether that took anybody out of service. */
        boolean withdrawn(Withdrawal withdrawal);

        /** A call has failed, or a watch has ended. */
        void failed(String cause);

        /** Something happened to a call that is worth a line of the log. */
        default void noted(String line) { }

        /** A call begins. */
        default void called() { }
    }

    /**
     * How the registry tells its lists.
     *
     * @param pushed whether by an agent of this machine, which answers at once or is away; else calls may have to wait for their turn
     * @param mustAskIn for how long a list counts without a watch, in microseconds; 0 where no setting says so
     * @param unseen for how long at the most what is being handled now may have been there, in microseconds
     */
    record Terms(boolean pushed, long mustAskIn, LongSupplier unseen) { }

    private final EventLoop loop;
    private final Terms terms;
    private final ListLease lease;
    private boolean listHeld = true;  // when that was asked last
    private InetSocketAddress at;
    private final Listener listener;
    private final ListIntake intake;
    private final Asked watch;
    private final Asked fetch;
    private int numbered;  // calls
    private int reading;  // calls, one within another where one ends others

    /** {@code known} is the list in force already. Calls may have to wait for their turn. */
    public Discovery(EventLoop loop, InetSocketAddress at, HostList known, Listener listener) {
        this(loop, at, new Terms(false, 0, () -> 0), known, listener);
    }

    /** Likewise, by other terms. */
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

    /** Where there is a watch already, that one goes on. */
    public void watch(boolean active) {
        if (active) {
            watch.schedule.ask(now());
        } else {
            watch.end(watch.schedule.end());
        }
        watch.step();
    }

    /** Likewise: asks for the whole list, where it hasn't been asked for already. */
    void fetch() {
        fetch.schedule.ask(now());
        fetch.step();
    }

    /** Whether the list in force may be relied on by now. */
    public boolean listHolds() {
        boolean holds = lease.holds(now());
        if (holds != listHeld) {
            listHeld = holds;
            listener.noted(holds ? "the list is relied on again" : "the list is not relied on: it was told more than was heard, maybe");
        }
        return holds;
    }

    /** The earliest moment at which what is being handled now may have come. */
    private long arrived() {
        return now() - terms.unseen.getAsLong();
    }

    /** Reads what stands unread on its calls: in force once this returns. On the loop's thread. Returns false where more may stand there: while a call
        is being read nothing is, since what that one tells comes first. */
    public boolean look() {
        if (reading > 0) {
            return false;
        }
        boolean all = true;
        for (Asked asked : List.of(watch, fetch)) {
            for (Channel channel : asked.schedule.calls()) {
                if (call(channel) != null) {
                    all &= UnreadInput.readAll(channel, LOOKS);
                }
            }
        }
        return all;
    }

    /** From now on nothing counts that the old address says, but for what it had said, nor that it ends. */
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

    /** Null where there is no connection. */
    private static DiscoveryCall call(Channel channel) {
        return channel.pipeline().get(DiscoveryCall.class);
    }

    /** Tells the lease of each list that is put in force. */
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

    /** What is asked for, and the calls that are out for it. */
    private final class Asked implements DiscoveryCall.Owner {

        private final boolean watching;
        private final CallSchedule<Channel> schedule;
        private Future<?> due;
        private long dueAt = Long.MAX_VALUE;

        Asked(boolean watching, long turn) {
            this.watching = watching;
            schedule = new CallSchedule<>(turn, watching, ThreadLocalRandom.current()::nextLong);
        }

        /** Does what is due, and comes again when something is. After whatever the schedule was told. */
        private void step() {
            if (reading > 0) {  // what is being read may change what is due
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
                // Where there is no descriptor left, the library says so on a thread of its own.
                dialled.addListener(done -> loop.execute(() -> dialled(dialled)));
            }
            long next = schedule.due();
            if (next < dueAt) {  // one that comes too early looks and goes on
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

        /** On a late loop a line may stand unread on a call that seems to have none: it is read first, and may show that the call lives. */
        private void closeOverdue() {
            for (Channel late : schedule.overdue(now())) {
                if (call(late) != null) {
                    UnreadInput.readAll(late, LOOKS);
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
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)  // the schedule bounds it
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

        /** Nobody waits for these any more. What stands unread on them was told, and may be newer than what is in force: it is taken first. */
        private void end(List<Channel> calls) {
            for (Channel channel : calls) {
                DiscoveryCall call = call(channel);
                if (call != null) {
                    call.end("another call goes on in its place, or nobody asks any more");
                    UnreadInput.readAll(channel, LOOKS);
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
            boolean cut = call != null && call.isUnfinished();  // it had something to tell, which is not heard by this
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
            loop.execute(() -> {  // not within the read that brought it
                UnreadInput.readAll(call.channel(), LOOKS);
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
            loop.execute(this::step);  // once all that this turn found has been read: another call's line may be among it
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
