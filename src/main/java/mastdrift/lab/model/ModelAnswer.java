package mastdrift.lab.model;

import mastdrift.engine.ResponseMessage;

/** The answer of a node. */
record ModelAnswer(ModelNode node) implements ResponseMessage { }
