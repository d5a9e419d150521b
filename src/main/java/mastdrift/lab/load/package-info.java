/** The load tool: requests at times that were drawn before, over HTTP/1.1 or RADIUS on a few event loops, and what came of
    them, from the time that each was due. It decides nothing about the gateway that it asks, and says when it was itself what
    was slow. */
package mastdrift.lab.load;
