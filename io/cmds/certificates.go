package cmds

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
	"monsoonstep/io/peers"
)

const (
	certificateLifetime = 90 * 24 * time.Hour
	clockSkewAllowance  = time.Hour
	serialBits          = 120
	privateFileMode     = 0o600
	publicFileMode      = 0o644
)

func certificatesCommand(s streams) *cobra.Command {
	var names []string
	cmd := &cobra.Command{
		Use:   "certificates DIRECTORY",
		Short: "Create a development CA, a certificate for the fleet and one for callers",
		Long: `Writes ca.pem, fleet.pem, fleet.key, callers.pem and callers.key to an existing directory. It is meant for
development and tests: use certificates from your own CA in production. Existing files are not
overwritten.`,
		Example: "  monsoonstep keys certificates ./tls --name atelier.example --name 127.0.0.1",
		Args:    exactArgs("DIRECTORY"),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := makeCertificates(args[0], names); err != nil {
				return err
			}
			_, err := fmt.Fprintf(s.out, "certificates written to %s\n", args[0])
			return err
		},
	}
	cmd.Flags().StringSliceVar(&names, "name", []string{"localhost", "127.0.0.1"}, "a DNS name or IP address of the callers' certificate")
	return cmd
}

// certificateAuthority issues certificates with its own certificate and key.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// makeCertificates writes the files of a new CA, the fleet and the callers to a directory.
func makeCertificates(dir string, names []string) error {
	ca, err := newCertificateAuthority(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return err
	}
	if err := ca.issue(dir, "fleet", []string{peers.FleetServerName}); err != nil {
		return err
	}
	return ca.issue(dir, "callers", names)
}

// newCertificateAuthority creates a CA and writes its certificate to a file. Its key is not stored.
func newCertificateAuthority(file string) (*certificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't generate the key of the CA")
	}
	template, err := newTemplate("monsoonstep development CA")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't create the certificate of the CA")
	}
	return &certificateAuthority{certificate: template, key: key}, writePEM(file, "CERTIFICATE", raw, publicFileMode)
}

// issue writes a new key and a certificate with the given DNS names and IP addresses to base.key and base.pem.
func (a *certificateAuthority) issue(dir, base string, names []string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "can't generate the key of %s", base)
	}
	template, err := newTemplate("monsoonstep " + base)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, name)
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "can't create the certificate of %s", base)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "can't encode the key of %s", base)
	}
	if err := writePEM(filepath.Join(dir, base+".key"), "PRIVATE KEY", private, privateFileMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, base+".pem"), "CERTIFICATE", raw, publicFileMode)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkewAllowance),
		NotAfter:     time.Now().Add(certificateLifetime),
	}, nil
}

// writePEM writes a new file. It fails if the file exists.
func writePEM(file, kind string, raw []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errs.New(errs.BadInput, "can't create file %s: %v", file, err)
	}
	defer func() { _ = f.Close() }()
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: raw}); err != nil {
		return errs.Wrap(err, errs.Internal, "can't write file %s", file)
	}
	return nil
}
