package mastdrift.serve;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import mastdrift.engine.Pool;
import mastdrift.peers.Digest;
import mastdrift.peers.LocalLoad;
import mastdrift.peers.PeerView;

/**
 * Sends this gateway's outstanding work to the other gateways, and passes what they report to the decision modules of
 * all pools. Runs on the gateway's event loop.
 */
final class PeerLoadExchange {

    private final EventLoop loop;
    private final LongSupplier clock;
    private final PeerService service;
    private final LocalLoad ownWork;
    private final PeerView view;

    PeerLoadExchange(EventLoop loop, LongSupplier clock, PeerService service, String name) {
        this.loop = loop;
        this.clock = clock;
        this.service = service;
        ownWork = new LocalLoad(name, service.generation());
        view = new PeerView(name);
        service.onDigest(digest -> loop.execute(() -> view.addDigest(clock.getAsLong(), digest)));
        loop.execute(this::exchange);
    }

    void attach(Pool pool) {
        pool.setPeers(ownWork, view);
    }

    private void exchange() {
        Digest digest = ownWork.nextDigest();
        view.tick(clock.getAsLong(), digest.outstandingTotal());
        service.sendDigest(digest);
        loop.schedule(this::exchange, PeerView.digestIntervalMicros(view.peers().size() + 1), TimeUnit.MICROSECONDS);
    }
}
