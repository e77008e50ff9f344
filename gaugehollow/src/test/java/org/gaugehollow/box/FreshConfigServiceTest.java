/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpMessage;
import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** What a box that the store does not answer says of queues and keys that it does not know. */
class FreshConfigServiceTest
{
    private static final HttpMessage REQUEST = new HttpMessage("GET", "/q/", "", new DefaultHttpHeaders(),
            new byte[0]);

    private static ResultCode codeOf(ResultCode refusal, boolean silent)
    {
        CallerService service = new FreshConfigService(request ->
        {
            throw new GaugehollowException(refusal, "refused");
        }, () -> silent);
        return assertThrows(GaugehollowException.class, () -> service.answer(REQUEST)).code();
    }

    @Test
    void anUnknownKeyOrQueueIsNoAnswerWhileTheConfigurationMayBeOld()
    {
        assertThat(codeOf(ResultCode.KEY_UNKNOWN, true)).isEqualTo(ResultCode.CONFIG_MAY_BE_OLD);
        assertThat(codeOf(ResultCode.UNKNOWN_QUEUE, true)).isEqualTo(ResultCode.CONFIG_MAY_BE_OLD);
    }

    @Test
    void otherwiseTheRefusalStands()
    {
        assertThat(codeOf(ResultCode.KEY_UNKNOWN, false)).isEqualTo(ResultCode.KEY_UNKNOWN);
        assertThat(codeOf(ResultCode.UNKNOWN_QUEUE, false)).isEqualTo(ResultCode.UNKNOWN_QUEUE);
        assertThat(codeOf(ResultCode.BAD_REQUEST, true)).isEqualTo(ResultCode.BAD_REQUEST);
    }
}
