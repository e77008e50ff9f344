/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.function.BooleanSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;

/**
 * Rejects requests while the cached configuration may be stale: during a store outage queues and
 * API keys may have been added or removed. A rejected request can be relayed to a peer with store
 * access.
 */
final class FreshConfigService implements CallerService
{
    private final CallerService service;
    private final BooleanSupplier mayBeStale;

    /**
     * @param service answers requests using this box's configuration
     * @param mayBeStale returns whether the configuration may be stale
     */
    FreshConfigService(CallerService service, BooleanSupplier mayBeStale)
    {
        this.service = service;
        this.mayBeStale = mayBeStale;
    }

    @Override
    public HttpReply answer(HttpMessage request) throws InterruptedException
    {
        if (mayBeStale.getAsBoolean())
        {
            throw new GaugehollowException(ResultCode.CONFIG_MAY_BE_OLD,
                    "the store is unresponsive, or the configuration has not been reloaded since an outage");
        }
        return service.answer(request);
    }
}
