/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.List;

import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.peer.generated.PeerProtocol.AdviceCall;
import org.gaugehollow.peer.generated.PeerProtocol.AdviceReply;
import org.gaugehollow.peer.generated.PeerProtocol.AdviceTicket;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.AdvicePort;

/** Calls the advice service through a peer. */
final class PeerAdvice implements AdvicePort
{
    private static final int NETWORK_MARGIN_MILLIS = 200;

    private final PeerLink link;

    PeerAdvice(PeerLink link)
    {
        this.link = link;
    }

    @Override
    public Advice advise(String step, List<String> workers, int timeoutMillis) throws InterruptedException
    {
        AdviceCall call = AdviceCall.newBuilder().setStep(step).addAllWorkers(workers)
                .setTimeoutMillis(timeoutMillis).build();
        Frame reply = link.call(Frame.newBuilder().setAdvice(call), timeoutMillis + NETWORK_MARGIN_MILLIS);
        AdviceReply advice = reply.getAdviceReply();
        return new Advice(
                advice.getTicketsList().stream()
                        .map(ticket -> new Advice.Ticket(ticket.getWorker(), ticket.getText())).toList(),
                advice.getValidMillis());
    }

    /** Handles a peer's call by calling the advice service from this box. */
    static Frame.Builder handle(AdviceCall call, AdvicePort adviceService) throws InterruptedException
    {
        Advice advice = adviceService.advise(call.getStep(), call.getWorkersList(), call.getTimeoutMillis());
        AdviceReply.Builder reply = AdviceReply.newBuilder().setValidMillis(advice.validMillis());
        advice.tickets().forEach(ticket -> reply
                .addTickets(AdviceTicket.newBuilder().setWorker(ticket.worker()).setText(ticket.text())));
        return Frame.newBuilder().setAdviceReply(reply);
    }
}
