package mastdrift.lab.model;

import mastdrift.Balancer.RequestClass;
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.Responder;
import mastdrift.engine.Exchange;

/** One try of a request, as a gateway has it: who asks, what, and where the answer goes. */
final class Try implements Responder, RequestMessage {

    /** How a try ended for its client. */
    enum Ended { SERVED, REFUSED, FAILED, UNANSWERED }

    /** Hears how it ended, once. */
    interface Ear {
        void ended(Try one, Ended how, long advice);
    }

    private final ModelClients.Chain chain;
    private final ModelGateway gateway;
    private final int life;
    private final long effect;
    private final RequestAttributes ask;
    private final long endsAt;
    private final Watch watch;
    private final VirtualTime time;
    private final long delay;
    private final Trace trace;
    private final boolean twice;
    private final Ear ear;
    private Exchange exchange;
    private boolean read;
    private int answers;
    private boolean over;

    Try(ModelClients.Chain chain, ModelGateway gateway, RequestAttributes ask, long endsAt, Watch watch, VirtualTime time, long delay, Trace trace,
            boolean twice, Ear ear) {
        this.chain = chain;
        this.gateway = gateway;
        this.ask = ask;
        this.endsAt = endsAt;
        this.watch = watch;
        this.time = time;
        this.delay = delay;
        this.trace = trace;
        this.twice = twice;
        this.ear = ear;
        life = gateway.lives();
        effect = chain.effect();
    }

    RequestAttributes ask() {
        return ask;
    }

    RequestClass type() {
        return chain.type();
    }

    /** What may happen once: tries that follow a refusal share it, since that says that trying again is harmless; one after a
        failure is its client's own risk, and has another. */
    long effect() {
        return effect;
    }

    long request() {
        return chain.number();
    }

    double work() {
        return chain.work();
    }

    int key() {
        return chain.key();
    }

    /** Whether its client has heard, or waits no longer. */
    boolean over() {
        return over;
    }

    void ran(ModelNode node) {
        chain.ran(gateway.zone(), node);
    }

    ModelGateway gateway() {
        return gateway;
    }

    /** The gateway has read it; {@code by} is null where it was answered at once. */
    void taken(Exchange by) {
        read = true;
        exchange = by;
    }

    /** The client's time is over: it closes its connection. */
    void late() {
        if (over) {
            return;
        }
        if (read && answers == 0 && alive()) {
            watch.unanswered(request(), "gateway-" + gateway.number());
        }
        if (exchange != null && alive()) {
            exchange.clientDisconnected();
        }
        end(Ended.UNANSWERED, 0);
    }

    /** The gateway has died. */
    void lost() {
        end(Ended.UNANSWERED, 0);
    }

    private boolean alive() {
        return gateway.up() && gateway.lives() == life;
    }

    private void answer(Ended how, long advice) {
        watch.answered(request(), "gateway-" + gateway.number(), ++answers, time.now() - endsAt);
        if (trace != Trace.NONE) {
            trace.step(time.now() - VirtualTime.BEGIN, request(), "gateway-" + gateway.number(), "answers " + how);
        }
        time.after(delay, () -> end(how, advice));
        if (twice && answers == 1 && request() % 1000 == 7) {
            answer(how, advice);
        }
    }

    private void end(Ended how, long advice) {
        if (!over) {
            over = true;
            ear.ended(this, how, advice);
        }
    }

    @Override
    public void sendResponse(ResponseMessage answer) {
        answer(Ended.SERVED, 0);
    }

    @Override
    public void sendRefusal(long retryAfter) {
        answer(Ended.REFUSED, retryAfter);
    }

    @Override
    public void sendFailure(boolean late) {
        answer(Ended.FAILED, 0);
    }

    @Override
    public void release() { }
}
