/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;

import com.google.protobuf.ByteString;

import io.netty.handler.codec.http.HttpHeaderNames;

/** Creates and reads the answers that boxes exchange. */
final class Answers
{
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private Answers()
    {
    }

    static Answer answered(HttpReply reply, String task, String box, String upstream)
    {
        String type = reply.headers().get(HttpHeaderNames.CONTENT_TYPE, DEFAULT_CONTENT_TYPE);
        return Answer.newBuilder().setCode(ResultCode.OK.number()).setStatus(reply.status())
                .setContentType(type).setBody(ByteString.copyFrom(reply.body())).setTask(task).setBox(box)
                .setUpstream(upstream).build();
    }

    static Answer rejected(ResultCode code, String message, String task, String box)
    {
        return Answer.newBuilder().setCode(code.number()).setStatus(code.httpStatus())
                .setMessage(String.valueOf(message)).setTask(task).setBox(box)
                .setRetryAfterMillis(code.retryAfterMillis()).build();
    }

    static Answer rejected(GaugehollowException e, String task, String box)
    {
        return rejected(e.code(), e.getMessage(), task, box);
    }

    static ResultCode codeOf(Answer answer)
    {
        return ResultCode.ofNumber(answer.getCode());
    }

    static boolean isNotRun(Answer answer)
    {
        return codeOf(answer).outcome() == Outcome.NOT_RUN;
    }
}
