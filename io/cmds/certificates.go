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
	certificateLife = 90 * 24 * time.Hour
	clockSlack      = time.Hour
	serialBits      = 120
	privateFile     = 0o600
	publicFile      = 0o644
)

func certificatesCommand(s streams) *cobra.Command {
	var names []string
	cmd := &cobra.Command{
		Use:   "certificates DIRECTORY",
		Short: "Make a development CA with a certificate for the fleet and one for callers",
		Long: `Writes ca.pem, fleet.pem, fleet.key, callers.pem and callers.key to an existing directory. It is meant for
development and tests: for production take certificates from your own CA. Existing files are not
overwritten.`,
		Example: "  monsoonstep keys certificates ./tls --name atelier.example --name 127.0.0.1",
		Args:    exactly("DIRECTORY"),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := makeCertificates(args[0], names); err != nil {
				return err
			}
			_, err := fmt.Fprintf(s.out, "certificates are in %s\n", args[0])
			return err
		},
	}
	cmd.Flags().StringSliceVar(&names, "name", []string{"localhost", "127.0.0.1"}, "a DNS name or IP number of the callers' certificate")
	return cmd
}

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func makeCertificates(dir string, names []string) error {
	ca, err := newAuthority(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return err
	}
	if err := ca.issue(dir, "fleet", []string{peers.FleetServerName}); err != nil {
		return err
	}
	return ca.issue(dir, "callers", names)
}

func newAuthority(file string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "key of the CA")
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
		return nil, errs.Wrap(err, errs.Internal, "certificate of the CA")
	}
	return &authority{certificate: template, key: key}, writePEM(file, "CERTIFICATE", raw, publicFile)
}

func (a *authority) issue(dir, base string, names []string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "key of %s", base)
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
		return errs.Wrap(err, errs.Internal, "certificate of %s", base)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "key of %s", base)
	}
	if err := writePEM(filepath.Join(dir, base+".key"), "PRIVATE KEY", private, privateFile); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, base+".pem"), "CERTIFICATE", raw, publicFile)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSlack),
		NotAfter:     time.Now().Add(certificateLife),
	}, nil
}

// writePEM writes a new file; one that exists is left as it is.
func writePEM(file, kind string, raw []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errs.New(errs.BadInput, "file %s can't be made: %v", file, err)
	}
	defer func() { _ = f.Close() }()
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: raw}); err != nil {
		return errs.Wrap(err, errs.Internal, "file %s", file)
	}
	return nil
}
