package mastdrift.lab.model;

import mastdrift.Balancer.Outcome;

/** What a node sees of an attempt. */
interface Send {

    /** The number of the request. */
    long request();

    /** Microseconds on a core of speed 1, for one that doesn't know its key. */
    double work();

    /** What it is about. */
    int key();

    /** Whether its gateway has given it up. */
    boolean given();

    /** Whether its gateway has been told of the node's present start. */
    boolean informed();

    /** The node begins to run it. */
    void begun(ModelNode node);

    /** The node answers. */
    void answer(Outcome outcome);

    /** The node's process has ended. */
    void reset();
}
