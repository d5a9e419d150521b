package mastdrift.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.NetUtil;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import mastdrift.Balancer;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.RequestClass;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Pool;
import mastdrift.engine.HostListSource;
import mastdrift.engine.Transport;

/** The platform's gateway: one pool, to which every request goes, with its hosts from discovery. */
final class Gateway implements ClientSide.Router {

    private final PrintStream out;
    private final Pool pool;
    private final RequestTracker ledger;
    private final Discovery discovery;
    private final CompletableFuture<Void> told = new CompletableFuture<>();
    private boolean held;  // whether calls to discovery wait for the first one's moment
    private boolean asked;  // whether one does

    /** Starts the module; on the loop's thread. */
    Gateway(Config config, TimedLoop timed, Balancer module, int hostConnections, int openMost, boolean tally, PrintStream out) {
        this.out = out;
        EventLoop loop = timed.loop();
        ledger = new RequestTracker(timed.timers(), timed.clock(), timed.turns(), openMost, this::log);
        Transport hosts = new HttpTransport(timed, config.settings(), hostConnections, this::log);
        HostListSource source = new HostListSource() {
            @Override
            public void watch(boolean active) {
                asked = active;
                if (!held) {
                    discovery.watch(active);
                }
            }

            @Override
            public void fetch() {
                discovery.fetch();
            }

            @Override
            public boolean isListValid() {
                return discovery == null || discovery.listHolds();  // null while the known list is put in force
            }
        };
        Discovery.Listener listener = new Lists();
        ledger.setRequestListener(new RequestLog(timed.clock()::now, this::log));
        if (tally) {
            Tracing tracing = new Tracing(hosts, timed, config.settings(), this::log);
            ledger.setRequestListener(tracing);
            Tallying tallying = new Tallying(tracing, timed, config.settings().rules().warmWithin(), ledger, tracing, this::log);
            hosts = tallying;
            listener = tallying.counted(listener);
        }
        pool = new Pool("hosts", ledger, module, config.settings(), hosts);
        Discovery.Terms terms = new Discovery.Terms(!config.settings().registryOnRequest(), config.settings().rules().mustAskIn(), ledger::maxUnreadMicros);
        discovery = new Discovery(loop, config.discovery(), terms, config.known(), listener);
        ledger.setNotificationReader(discovery::look);
        pool.start(source, config.known().rev(), config.known().entries());
        log("settings: lists are " + (config.settings().registryOnRequest() ? "asked for" : "pushed") + ", " + config.settings().rules());
        logList(config.known());
        if (!config.settings().registryOnRequest()) {
            discovery.watch(true);
        }
    }

    RequestTracker ledger() {
        return ledger;
    }

    /** Done once discovery has told of the hosts for the first time. */
    CompletableFuture<Void> told() {
        return told;
    }

    /** The module's watch begins only once {@link #ask} allows it; on the loop's thread, ahead of its first call. */
    void hold() {
        held = true;
    }

    /** Discovery may be called from now on, and is where the module has asked for it; on the loop's thread, any number of times. */
    void ask() {
        boolean waited = held && asked;
        held = false;
        if (waited) {
            discovery.watch(true);
        }
    }

    /** Discovery is to be asked at another address. */
    void discoverAt(InetSocketAddress at) {
        log("discovery at " + NetUtil.toSocketAddressString(at));
        discovery.move(at);
    }

    @Override
    public Pool pool(RequestClass type, String tenant, HttpRequest message, Long key) {
        return pool;
    }

    /** What discovery tells. */
    private final class Lists implements Discovery.Listener {

        @Override
        public void listed(HostList list) {
            logList(list);
            pool.updateHosts(list.all() ? ListForm.FULL : ListForm.DELTA, list.rev(), list.entries());
            told.complete(null);
        }

        @Override
        public boolean withdrawn(Discovery.Withdrawal withdrawal) {
            int hosts = pool.withdraw(withdrawal.version(), withdrawal.named(), withdrawal.leaving());
            log("of a list that is not in force, " + hosts + " hosts are drained or removed");
            return hosts > 0;
        }

        @Override
        public void noted(String line) {
            log(line);
        }

        @Override
        public void failed(String cause) {
            log("discovery failed: " + cause);
            pool.hostListFailed();
        }
    }

    private void logList(HostList list) {
        log("list " + list.rev() + ": " + list.entries().size() + (list.all() ? " hosts" : " changes"));
    }

    void log(String line) {
        out.println(line.replace('\n', ' '));
    }
}
