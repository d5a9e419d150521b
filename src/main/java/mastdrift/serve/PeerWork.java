package mastdrift.serve;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import mastdrift.engine.Pool;
import mastdrift.peers.Digest;
import mastdrift.peers.LocalLoad;
import mastdrift.peers.PeerView;

/** What this gateway has out, told to the others, and what they have out, for the modules of all pools. On the loop's thread. */
final class PeerWork {

    private final EventLoop loop;
    private final LongSupplier clock;
    private final PeerService service;
    private final LocalLoad work;
    private final PeerView view;

    PeerWork(EventLoop loop, LongSupplier clock, PeerService service, String name) {
        this.loop = loop;
        this.clock = clock;
        this.service = service;
        work = new LocalLoad(name, service.generation());
        view = new PeerView(name);
        service.works(digest -> loop.execute(() -> view.addDigest(clock.getAsLong(), digest)));
        loop.execute(this::tell);
    }

    void of(Pool pool) {
        pool.peers(work, view);
    }

    private void tell() {
        Digest digest = work.nextDigest();
        view.tick(clock.getAsLong(), digest.outstandingTotal());
        service.tell(digest);
        loop.schedule(this::tell, PeerView.digestIntervalMicros(view.peers().size() + 1), TimeUnit.MICROSECONDS);
    }
}
