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
import mastdrift.limits.ByteBudget;
import mastdrift.limits.MessageMemory;

/** The platform's gateway: a single pool, to which every request goes, with hosts from discovery. */
final class Gateway implements HttpFront.Router {

    private final PrintStream out;
    private final EventLoop loop;
    private final Pool pool;
    private final RequestTracker ledger;
    private final Discovery discovery;
    private final ByteBudget requestMemory;
    private final ByteBudget responseMemory;
    private final CompletableFuture<Void> firstList = new CompletableFuture<>();
    private boolean discoveryHeld;  // whether the module's watch is held back until allowDiscovery()
    private boolean watchRequested;  // whether the module has asked for a watch

    /** Starts the module; called on the event loop's thread. */
    Gateway(GatewayConfig config, TimedEventLoop timedLoop, Balancer module, int maxHostConnections, int maxOpenRequests,
            boolean tally, PrintStream out) {
        this.out = out;
        loop = timedLoop.loop();
        ledger = new RequestTracker(timedLoop.timers(), timedLoop.clock(), timedLoop.turns(), maxOpenRequests, this::log);
        MessageMemory memory = MessageMemory.of(Runtime.getRuntime().maxMemory(), config.maxMemoryBytes());
        requestMemory = memory.requestBudget();
        responseMemory = memory.responseBudget();
        Transport transport = new HttpTransport(timedLoop, config.settings(), maxHostConnections, responseMemory, this::log);
        HostListSource source = new HostListSource() {
            @Override
            public void watch(boolean active) {
                watchRequested = active;
                if (!discoveryHeld) {
                    discovery.watch(active);
                }
            }

            @Override
            public void fetch() {
                discovery.fetch();
            }

            @Override
            public boolean isListValid() {
                return discovery == null || discovery.isListValid();  // null while the known list is applied
            }
        };
        Discovery.Listener listener = new DiscoveryListener();
        ledger.setRequestListener(new RequestLog(timedLoop.clock()::now, this::log));
        if (tally) {
            RequestTracer tracing = new RequestTracer(transport, timedLoop, config.settings(), this::log);
            ledger.setRequestListener(tracing);
            TallyRecorder tallyRecorder = new TallyRecorder(tracing, timedLoop, config.settings().rules().warmWithin(),
                    ledger, tracing, this::log);
            transport = tallyRecorder;
            listener = tallyRecorder.countingListener(listener);
        }
        pool = new Pool("hosts", ledger, module, config.settings(), transport);
        Discovery.RegistryOptions terms = new Discovery.RegistryOptions(!config.settings().registryOnRequest(), config.settings().rules().mustAskIn(), ledger::maxUnreadMicros);
        discovery = new Discovery(loop, config.discovery(), terms, config.knownList(), listener);
        ledger.setNotificationReader(discovery::readUnreadInput);
        pool.start(source, config.knownList().version(), config.knownList().entries());
        log("settings: lists are " + (config.settings().registryOnRequest() ? "asked for" : "pushed") + ", " + config.settings().rules());
        logList(config.knownList());
        if (!config.settings().registryOnRequest()) {
            discovery.watch(true);
        }
    }

    RequestTracker ledger() {
        return ledger;
    }

    /** The memory for requests of clients. */
    ByteBudget requestMemory() {
        return requestMemory;
    }

    /** The memory for responses of hosts. */
    ByteBudget responseMemory() {
        return responseMemory;
    }

    Discovery discovery() {
        return discovery;
    }

    /** Completes when discovery has delivered its first list. */
    CompletableFuture<Void> firstListReceived() {
        return firstList;
    }

    /**
     * Holds back the module's watch until {@link #allowDiscovery}; called on the event loop's thread, before the first
     * call to discovery.
     */
    void holdDiscovery() {
        discoveryHeld = true;
    }

    /**
     * Allows calls to discovery from now on, and starts the watch if the module has asked for it; called on the event
     * loop's thread, any number of times.
     */
    void allowDiscovery() {
        boolean startWatch = discoveryHeld && watchRequested;
        discoveryHeld = false;
        if (startWatch) {
            discovery.watch(true);
        }
    }

    /** Clients are served by the known list from now on, unless discovery has delivered one. Called on any thread. */
    void useKnownList() {
        loop.execute(discovery::useEarlierList);
    }

    /** Sends calls to discovery to another address from now on. */
    void setDiscoveryAddress(InetSocketAddress address) {
        log("discovery address is now " + NetUtil.toSocketAddressString(address));
        discovery.moveTo(address);
    }

    @Override
    public Pool pool(RequestClass type, String tenant, HttpRequest message, Long key) {
        return pool;
    }

    /** Applies what discovery reports. */
    private final class DiscoveryListener implements Discovery.Listener {

        @Override
        public void listAccepted(HostList list) {
            logList(list);
            pool.updateHosts(list.full() ? ListForm.FULL : ListForm.DELTA, list.version(), list.entries());
            firstList.complete(null);
        }

        @Override
        public boolean hostsWithdrawn(Discovery.Withdrawal withdrawal) {
            int hosts = pool.withdraw(withdrawal.version(), withdrawal.namedUids(), withdrawal.leaving());
            log("rejected list: " + hosts + " hosts are drained or removed");
            return hosts > 0;
        }

        @Override
        public void logEvent(String line) {
            log(line);
        }

        @Override
        public void callFailed(String cause) {
            log("discovery failed: " + cause);
            pool.hostListFailed();
        }
    }

    private void logList(HostList list) {
        log("list " + list.version() + ": " + list.entries().size() + (list.full() ? " hosts" : " changes"));
    }

    void log(String line) {
        out.println(line.replace('\n', ' '));
    }
}
