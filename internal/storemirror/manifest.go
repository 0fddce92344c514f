package storemirror

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// SetDocument records the document of the manifest with the given version, for other instances. An
// older one than that known is ignored.
func (m *Mirror) SetDocument(version int64, document []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version >= m.documentVersion {
		m.document, m.documentVersion = document, version
	}
}

// Document returns the document of the manifest in force; nil if there is none. The caller must not
// modify it.
func (m *Mirror) Document() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// ManifestWait returns the duration of the next long poll for the manifest.
func (m *Mirror) ManifestWait() time.Duration {
	tells := m.tells()
	m.mu.Lock()
	defer m.mu.Unlock()
	// While a newer manifest is known, no read of this one confirms it.
	if m.confirmWithin > 0 && m.manifestVersion >= m.hinted && m.ConfirmationAge() > m.confirmWithin/confirmDueShare {
		m.longPoll = false
		return 0
	}
	m.longPoll = !tells && m.manifestTold.age(m.now()) < maxManifestAge && m.heard
	if m.longPoll {
		return platform.MaxPollWait
	}
	return platform.PollWait
}

// SetApplyWithin sets the time within which a published manifest must be in force. It must be called
// before the mirror is used.
func (m *Mirror) SetApplyWithin(d time.Duration) { m.applyWithin = d }

// ManifestReadFailed records that a read of the manifest by this instance has failed.
func (m *Mirror) ManifestReadFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.manifestFailedAt = m.now()
}

// ManifestRetryDelay returns for how long the read of the manifest that has failed last need not be
// repeated, because the manifest in force is told to be the newest. The teller can be gone the next moment,
// so that it isn't put off for as long as this instance is told.
func (m *Mirror) ManifestRetryDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.heard {
		return 0
	}
	return m.manifestFailedAt + m.applyWithin/retriesPerApply - m.now()
}

// ManifestInterrupt returns the channel that ends a long poll for the manifest.
func (m *Mirror) ManifestInterrupt() <-chan struct{} { return m.interrupt }

// Review ends a long poll for the manifest that relies on messages which no longer arrive. It is
// to be called about every second.
func (m *Mirror) Review() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.longPoll && m.manifestTold.age(m.now()) >= maxManifestAge {
		m.endLongPoll()
	}
}

func (m *Mirror) endLongPoll() {
	m.longPoll = false
	select {
	case m.interrupt <- struct{}{}:
	default:
	}
}
